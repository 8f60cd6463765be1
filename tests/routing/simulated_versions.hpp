#pragma once

#include "src/base/random.hpp"
#include "src/routing/dispatcher.hpp"
#include "src/routing/entry_readings.hpp"
#include "src/routing/stream_origins.hpp"
#include "src/routing/target_versions.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace tanagerlead::routing::testing
{

/// Daemons, targets and callers of streams in virtual time. Targets are
/// replaced by others of a new version, or restart with it under their id; some
/// state no version. Daemons die, lose the store or each other; their messages
/// are lost, late and doubled. Streams break off, and daemons and callers take
/// them up.
class simulated_versions
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        std::size_t targets_ = 12;
        double streams_per_second_ = 60;
        /// A daemon that loses the store notices it within this time.
        base::duration notice_time_{};
    };

    /// How many of the streams went on, of those that were begun or taken up at
    /// daemons in touch.
    struct tally
    {
        int asked_ = 0;
        int served_ = 0;

        double share() const
        {
            return asked_ == 0 ? 1.0 : static_cast<double>(served_) / asked_;
        }
    };

    simulated_versions(settings s, std::uint64_t seed);

    void run(base::duration length);

    /// Streams that hold events of two versions.
    int mixed_streams() const { return mixed_streams_; }
    tally begun() const { return begun_; }
    /// Those taken up while two targets of their version served.
    tally taken_up() const { return taken_up_; }
    /// Inside one answer.
    int resumed() const { return resumed_; }

private:
    using handler = std::function<void()>;

    /// One start of a target.
    struct process
    {
        std::uint64_t number_ = 0;
        int version_ = 0;
        bool states_version_ = true;
    };

    struct target
    {
        base::target_id id_;
        process process_;
        bool is_up_ = true;
    };

    struct connection
    {
        std::uint64_t process_ = 0;
        base::time_point connected_at_;
        base::time_point used_at_;
    };

    struct daemon
    {
        peer_table peers_;
        std::unique_ptr<dispatcher> dispatcher_;
        stream_origins origins_;
        std::map<base::target_id, target_info> view_;
        std::map<base::target_id, connection> connections_;
        target_versions versions_;
        entry_readings readings_;
        bool is_alive_ = true;
        bool reaches_store_ = true;
        bool hears_others_ = true;
        /// Not in touch until then.
        base::time_point disturbed_until_;
        std::uint64_t life_ = 0;
    };

    struct stream
    {
        std::string attempt_;
        std::string first_attempt_;
        std::size_t daemon_ = 0;
        std::uint64_t life_ = 0;
        /// Where it runs, and over which connection.
        target_info target_;
        connection connection_;
        /// Where it began, for the daemon that must find the version out.
        target_info first_target_;
        connection first_connection_;
        /// What the daemon knows.
        version_digest bound_ = unknown_version;
        /// Of the target that brought the first event; 0 before that.
        int version_ = 0;
        bool is_mixed_ = false;
        std::vector<base::target_id> tried_;
        int tries_ = 1;
        base::time_point settle_by_;
        base::time_point ends_at_;
    };
    using stream_ptr = std::shared_ptr<stream>;

    void after(base::duration delay, handler what);
    base::duration between(base::duration least, base::duration most);
    bool chance(double probability);
    void every(double per_second, handler const& what);

    void replace_target();
    void start_process(target& t, int version);
    void publish(std::size_t daemon, base::target_id const& id);
    void read_registry(std::size_t d);
    target_info entry_of(target const& t) const;
    target* find(base::target_id const& id);
    int serving(int version) const;

    void lose_store();
    void lose_daemon();
    void start_daemon(std::size_t d);
    bool is_in_touch(std::size_t d) const;
    std::size_t any_daemon();

    void begin_stream();
    /// Sends the stream's request to a target. False if none takes it.
    bool send(stream_ptr const& s, bool counts = false);
    bool connect(daemon& d, base::target_id const& id, connection& out);
    version_finding version_of(std::size_t d, target_info const& entry,
                               connection const& c);
    /// Reads the entry of one target, if the store answers.
    void read_entry(std::size_t d, base::target_id const& id);
    void confirm_registry();
    /// Waits until the version behind the connection is known and the right
    /// one, and begins to run there; tries another target otherwise.
    void run_at(stream_ptr const& s, connection const& c, bool counts);
    void resolve(stream_ptr const& s);
    void on_event(stream_ptr const& s);
    void on_break(stream_ptr const& s);
    void take_up(stream_ptr const& s);
    void look_up(stream_ptr const& s, bool counts, base::time_point give_up);
    void go_on(stream_ptr const& s, version_digest version, bool counts);
    void exchange(std::size_t d);
    void send_message(std::size_t from, std::size_t to,
                      stream_message const& message);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::multimap<base::time_point, handler> events_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::vector<target> targets_;
    int version_ = 1;
    std::uint64_t last_process_ = 0;
    std::uint64_t last_attempt_ = 0;
    std::uint64_t last_target_ = 0;
    int mixed_streams_ = 0;
    tally begun_;
    tally taken_up_;
    int resumed_ = 0;
};

} // namespace tanagerlead::routing::testing
