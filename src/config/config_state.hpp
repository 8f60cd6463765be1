#pragma once

#include "src/base/address.hpp"
#include "src/base/ids.hpp"
#include "src/base/random.hpp"
#include "src/base/units.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tanagerlead::config
{

/// Daemons of one data centre that hold a watch.
constexpr std::size_t readers_per_data_centre = 2;
/// Between two looks at the head: of a reader, whose watch may have gone
/// silent; of the others, who hear of it by gossip; of a daemon that has no
/// configuration yet.
constexpr base::duration reader_poll_interval = std::chrono::seconds{4};
constexpr base::duration follower_poll_interval = std::chrono::seconds{60};
constexpr base::duration first_poll_interval = std::chrono::milliseconds{500};
/// A daemon that has heard neither from the service nor from any peer for so
/// long takes no new work: it cannot know which configuration is in force.
constexpr base::duration isolation_limit = std::chrono::seconds{120};
constexpr base::duration first_fetch_backoff = std::chrono::milliseconds{100};
constexpr base::duration longest_fetch_backoff = std::chrono::seconds{2};

/// A daemon that has told which version it has.
struct config_peer
{
    base::daemon_id daemon_;
    base::address address_;
};

/// Fetch a version at least as late as `version_`.
struct fetch_order
{
    base::config_version version_{};
    /// From this peer; from the service when empty.
    std::optional<config_peer> peer_;
};

/// What is to be done now.
struct config_step
{
    bool hold_watch_ = false;
    bool poll_store_ = false;
    std::optional<fetch_order> fetch_;
    /// When to ask again, if nothing happens before.
    base::time_point wake_at_{};
};

/// Decides which version is in force and where a later one is fetched.
/// No I/O; times come with the events. Not thread-safe.
class config_state
{
public:
    config_state(base::daemon_id self, std::uint64_t seed,
                 base::time_point start);

    /// The live daemons of the own data centre; the own one may be missing.
    void on_members(std::vector<base::daemon_id> const& same_data_centre,
                    base::time_point now);
    /// A peer was heard of, with the version in force there. True when that is
    /// later than the one in force here.
    bool on_peer_version(config_peer const& peer, base::config_version version,
                         base::time_point now);
    void on_peer_gone(base::daemon_id const& peer);
    void on_watch(base::config_version version, base::time_point now);
    /// Ends a poll; no version when the service did not answer.
    void on_poll(std::optional<base::config_version> version,
                 base::time_point now);
    /// Ends a fetch. True when the version is later than that in force and is
    /// to be published; false when it must be dropped.
    bool on_fetched(base::config_version version, base::time_point now);
    /// A version was accepted through this daemon; as `on_fetched`, with no
    /// fetch ended.
    bool on_accepted(base::config_version version, base::time_point now);
    void on_fetch_failed(base::time_point now);

    /// Started work counts as under way until its end is told.
    config_step next(base::time_point now);

    base::config_version in_force() const { return in_force_; }
    bool is_reader() const { return is_reader_; }
    /// False without a configuration, or isolated for too long.
    bool may_take_work(base::time_point now) const;

private:
    struct by_name
    {
        bool operator()(base::daemon_id const& a,
                        base::daemon_id const& b) const
        {
            return a.str() < b.str();
        }
    };

    struct peer_version
    {
        base::address address_;
        base::config_version version_{};
    };

    bool raise(base::config_version version);
    base::config_version latest_known() const;
    std::optional<config_peer> pick_peer(base::config_version wanted);
    std::optional<fetch_order> pick_fetch(base::time_point now);
    base::duration poll_interval() const;
    base::duration jitter(base::duration around);

    base::daemon_id self_;
    base::random_source random_;
    base::config_version in_force_{};
    /// Latest that the service has told.
    base::config_version store_version_{};
    std::map<base::daemon_id, peer_version, by_name> peers_;
    bool is_reader_ = true;
    bool polling_ = false;
    base::time_point poll_at_;
    std::optional<fetch_order> fetching_;
    base::time_point fetch_at_;
    base::duration backoff_ = first_fetch_backoff;
    /// The service failed a fetch since a peer last did.
    bool avoid_store_ = false;
    base::time_point last_contact_;
};

} // namespace tanagerlead::config
