#pragma once

#include "src/base/random.hpp"
#include "src/routing/evidence_schedule.hpp"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tanagerlead::routing::testing
{

/// Daemons and targets in virtual time. Some requests have a part that crashes
/// each target which begins to answer them; targets also crash alone and many
/// at once for other reasons; daemons die, freeze and are cut off from each
/// other; reports are lost, late and doubled. Counts the requests with a bad
/// part that are sent although all must know it, and sound ones that are
/// refused.
class simulated_crashes
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        std::size_t targets_ = 12;
        /// Nothing is promised for this time after the crash that decides, or
        /// for a daemon after a disturbance of it.
        base::duration stable_window_{};
        std::size_t bad_parts_ = 1;
        /// Fraction of requests with a bad part, while there are any.
        double bad_fraction_ = 0.05;
        double requests_per_second_ = 60;
        base::duration report_interval_ = std::chrono::milliseconds{150};
        bool has_other_crashes_ = true;
        bool has_faults_ = true;
    };

    simulated_crashes(settings s, std::uint64_t seed);

    void run(base::duration length);

    /// Most requests with one bad part that were sent later than the window
    /// after its fifth crash.
    int max_sent_after_bound() const;
    /// Crashes under bad parts.
    int bad_crashes() const;
    int other_crashes() const { return other_crashes_; }
    int sound_requests() const { return sound_requests_; }
    int sound_refused() const { return sound_refused_; }
    /// Sound parts that some daemon has in quarantine now.
    std::size_t sound_parts_in_quarantine() const;

private:
    struct request
    {
        std::uint32_t id_ = 0;
        prompt_parts parts_;
        /// Index of its bad part, if it has one.
        std::optional<std::size_t> bad_;
        std::size_t daemon_ = 0;
        std::uint64_t life_ = 0;
        int attempts_ = 0;
        base::time_point begins_at_;
        base::time_point ends_at_;
        bool is_proved_ = false;
    };

    struct target
    {
        id_digest id_{};
        base::time_point down_until_ = base::time_point::min();
        std::vector<request> running_;
    };

    struct daemon
    {
        std::unique_ptr<part_quarantine> parts_;
        evidence_schedule schedule_;
        std::uint64_t life_ = 0;
        base::time_point dead_until_ = base::time_point::min();
        base::time_point frozen_until_ = base::time_point::min();
        base::time_point cut_until_ = base::time_point::min();
        base::time_point disturbed_until_ = base::time_point::min();
    };

    struct report
    {
        std::size_t to_ = 0;
        std::shared_ptr<peer_report const> content_;
    };

    struct bad_part
    {
        std::vector<base::time_point> crashed_at_;
        int sent_after_bound_ = 0;
    };

    void start(daemon& d);
    void arrive();
    void send(request r);
    void serve();
    void crash(target& t);
    void fail_targets();
    void fail_daemons();
    void exchange_reports();
    void deliver();
    bool runs(daemon const& d) const
    {
        return now_ >= d.dead_until_ && now_ >= d.frozen_until_;
    }
    bool is_heard(daemon const& d) const
    {
        return runs(d) && now_ >= d.cut_until_;
    }
    base::duration between(base::duration least, base::duration most);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::vector<daemon> daemons_;
    std::vector<target> targets_;
    std::vector<bad_part> bad_parts_;
    std::multimap<base::time_point, report> reports_;
    std::uint32_t next_id_ = 1;
    base::time_point next_report_;
    base::time_point next_target_fault_;
    base::time_point next_daemon_fault_;
    int other_crashes_ = 0;
    int sound_requests_ = 0;
    int sound_refused_ = 0;
};

} // namespace tanagerlead::routing::testing
