#pragma once

#include "src/sched/types.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace tanagerlead::sched
{

/// A crash of a target that had copies of one request in flight.
struct suspected_crash
{
    base::target_id target_;
    /// Time since the crash.
    base::duration age_{};
};

/// What one daemon has recorded about requests with one fingerprint; sent to
/// other daemons.
struct suspicion
{
    std::uint64_t fingerprint_ = 0;
    std::vector<suspected_crash> crashes_;
    /// Time since a copy finished successfully; negative if none did.
    base::duration cleared_age_{-1};
};

/// Detects requests that crash the targets that run them. A fingerprint that
/// was in flight at `crashes_for_quarantine` crashes is refused for
/// `quarantine_duration` after the last one. One successful answer clears it.
/// Bounded: the record that changed least recently is evicted first.
class quarantine
{
public:
    static constexpr std::size_t crashes_for_quarantine = 3;
    static constexpr base::duration quarantine_duration =
        std::chrono::minutes{10};
    static constexpr std::size_t max_suspicions = 4096;

    void on_target_lost(std::uint64_t fingerprint,
                        base::target_id const& target, base::time_point now);
    void on_finished(std::uint64_t fingerprint, base::time_point now);

    /// Whether it was in flight at a recent crash and must run apart from other
    /// suspects.
    bool is_suspect(std::uint64_t fingerprint, base::time_point now) const;
    bool is_blocked(std::uint64_t fingerprint, base::time_point now) const;
    /// Time until the fingerprint is accepted again; zero when it is not
    /// blocked.
    base::duration remaining(std::uint64_t fingerprint,
                             base::time_point now) const;

    /// The newest suspicions, at most `max_count`.
    std::vector<suspicion> export_suspicions(base::time_point now,
                                             std::size_t max_count) const;
    /// Merges suspicions of other daemons. Idempotent; their order does not
    /// matter.
    void import_suspicions(std::vector<suspicion> const& suspicions,
                           base::time_point now);

    std::size_t size() const { return records_.size(); }

private:
    struct crash
    {
        base::target_id target_;
        base::time_point at_;
    };
    struct record
    {
        std::vector<crash> crashes_;
        base::time_point cleared_at_ = base::time_point::min();
        base::time_point changed_at_;
    };

    static void add_crash(record& r, crash const& d);
    static void clear(record& r, base::time_point at);
    void evict_oldest();
    void merge(suspicion const& s, base::time_point now);

    absl::flat_hash_map<std::uint64_t, record> records_;
};

} // namespace tanagerlead::sched
