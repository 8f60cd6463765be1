#pragma once

#include "src/base/random.hpp"
#include "src/base/units.hpp"
#include "src/membership/rumour_list.hpp"
#include "src/membership/swim_message.hpp"
#include "src/membership/view.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace tanagerlead::membership
{

/// Timing and fan-out of the membership protocol.
struct swim_settings
{
    base::duration probe_interval_ = std::chrono::seconds{1};
    /// Without an ack for this long, others are asked to probe.
    base::duration direct_timeout_ = std::chrono::milliseconds{300};
    /// A suspect that has not refuted for this long is dead.
    base::duration suspicion_timeout_ = std::chrono::seconds{3};
    /// A dead member is forgotten after this long.
    base::duration memory_of_dead_ = std::chrono::hours{3};
    /// Dead members and seeds are tried this often, to heal a partition.
    base::duration reconnect_interval_ = std::chrono::seconds{5};
    /// A suspect is pinged this often, so that it can refute in time.
    base::duration suspect_interval_ = std::chrono::milliseconds{500};
    /// A new life asks for the whole list again after this long, in case many
    /// others have begun with it.
    base::duration rejoin_interval_ = std::chrono::seconds{2};
    /// How often a new life asks again.
    int rejoins_ = 2;
    /// Members asked to probe in our place.
    std::size_t indirect_probes_ = 3;
    /// Members told at once of what must not wait for a probe.
    std::size_t fanout_ = 4;
    /// Messages a second spent on lists that differ.
    int repair_budget_ = 4;
};

struct outgoing_message
{
    base::address to_;
    swim_message message_;
};

/// Membership by random probing with suspicion (SWIM). No I/O; not
/// thread-safe; times come in with the events.
class swim
{
public:
    swim(member self, swim_settings settings, std::uint64_t seed);

    /// Peer addresses to join by, from settings and the host list.
    void set_seeds(std::vector<base::address> seeds);
    /// Announces the own configuration; tells a few members at once.
    void set_config_version(base::config_version version);
    /// Planned stop: spreads the state `leaving` at once.
    void leave();
    /// Asks every member for its state, for an operator who waits.
    void survey();

    void receive(base::address const& from, swim_message const& message,
                 base::time_point now);
    /// Does what is due.
    void tick(base::time_point now);
    base::time_point next_wakeup() const { return next_tick_; }

    /// Messages to send since the last call.
    std::vector<outgoing_message> take_outgoing();
    /// Whether `members` has changed since the last call.
    bool take_changed();

    member_list members() const;
    member const& self() const { return self_; }

private:
    struct record
    {
        member member_;
        /// When a suspect is declared dead, or a dead one is forgotten.
        base::time_point expires_;
        /// When a suspect is pinged again.
        base::time_point next_ping_;
    };

    struct probe
    {
        base::daemon_id subject_;
        std::uint64_t sequence_ = 0;
        base::time_point indirect_at_;
        base::time_point fails_at_;
        bool asked_others_ = false;
    };

    /// A ping made for another member, whose ack is passed on.
    struct relayed_ping
    {
        base::address asker_;
        std::uint64_t asker_sequence_ = 0;
        base::time_point expires_;
    };

    void handle_ping(base::address const& from, swim_message const& message);
    void handle_ack(base::address const& from, swim_message const& message);
    void handle_ping_request(base::address const& from,
                             swim_message const& message);
    void handle_join(base::address const& from, swim_message const& message);

    void learn(member const& news, base::time_point now);
    void learn_of_self(member const& news);
    void learn_from_sender(swim_message const& message, base::time_point now);
    void adopt(member const& news, base::time_point now);
    void set_state(record& known, member_state state, base::time_point now);
    void tell(member const& news);
    void tell_self();

    void absorb_pause(base::time_point now);
    void advance_probe(base::time_point now);
    void start_probe(base::time_point now);
    void expire(base::time_point now);
    void rejoin(base::time_point now);
    void reconnect(base::time_point now);

    swim_message make(swim_kind kind, std::uint64_t sequence);
    void send(base::address const& to, swim_message message);
    void send_at_once();
    void send_list(base::address const& to);
    void repair(base::address const& to, list_digest const& theirs);
    void ping_suspect(record& suspect, base::time_point now);
    std::vector<base::address> random_members(std::size_t count);
    list_digest digest() const;
    int most_sends() const;

    member self_;
    swim_settings settings_;
    base::random_source random_;
    std::vector<base::address> seeds_;
    absl::flat_hash_map<base::daemon_id, record> records_;
    rumour_list rumours_;
    std::vector<base::daemon_id> probe_order_;
    std::optional<probe> probe_;
    absl::flat_hash_map<std::uint64_t, relayed_ping> relayed_;
    std::vector<outgoing_message> outgoing_;
    std::uint64_t next_sequence_ = 1;
    int repairs_left_ = 0;
    base::time_point last_tick_;
    base::time_point next_tick_;
    base::time_point next_probe_;
    base::time_point next_reconnect_;
    base::time_point next_rejoin_;
    int rejoins_left_;
    bool ticked_ = false;
    bool changed_ = true;
};

} // namespace tanagerlead::membership
