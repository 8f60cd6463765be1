#pragma once

#include "src/base/units.hpp"
#include "src/routing/peer_ip.hpp"
#include "src/routing/prompt_part.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <vector>

namespace tanagerlead::routing
{

/// Finds the parts of prompts that crash the targets which run them, from the
/// crashes that all daemons saw, and keeps requests with such a part from the
/// targets.
///
/// A part is a suspect of each crash of a target at which a request with it was
/// in flight and had not run well yet. It is quarantined after
/// `crashes_for_quarantine` crashes under at least `requests_for_quarantine`
/// different requests, unless a request with it has run well at a target of
/// that pool since. A part that ran well before takes `crashes_if_known`
/// crashes. Crashes within `min_crash_distance` count as one, as targets may
/// fail together for another reason. Once a part is quarantined, its crashes
/// say nothing about the other suspects, so the parts that it shared requests
/// with are not blamed for them.
///
/// A part may be blamed wrongly, if no request with it ran to its end between
/// failures of targets for other reasons. So one request with it is let through
/// after each of the `trial_delays`, by a daemon chosen by rendezvous hashing;
/// while no request with the part comes to it, the right to the trial extends
/// to more and more daemons. Trials are part of the evidence. The quarantine
/// ends if the request runs well.
///
/// The verdict depends on the evidence alone and not on the order in which it
/// arrives, so daemons that have heard the same agree. Evidence may arrive late
/// and several times.
class part_quarantine
{
public:
    static constexpr int crashes_for_quarantine = 3;
    static constexpr int crashes_if_known = 5;
    static constexpr std::size_t requests_for_quarantine = 3;
    static constexpr base::duration min_crash_distance =
        std::chrono::milliseconds{250};
    /// Of two suspects with enough crashes, the one with more of them is
    /// blamed. For this, only crashes closer than this count as one, as crashes
    /// under a bad part follow each other faster than `min_crash_distance`.
    static constexpr base::duration same_failure_distance =
        std::chrono::milliseconds{15};
    /// A quarantine lasts for this long after the last crash.
    static constexpr base::duration quarantine_duration =
        std::chrono::minutes{10};
    /// Time from a crash to the first trial, and from a trial to the next one.
    static constexpr std::array<base::duration, 2> trial_delays{
        std::chrono::seconds{5}, std::chrono::seconds{60}};
    /// For each such interval after a trial was due without one, twice as many
    /// daemons may try the part.
    static constexpr base::duration trial_takeover_time =
        std::chrono::seconds{2};
    /// New evidence is repeated in reports for at least this long.
    static constexpr base::duration news_time = std::chrono::seconds{3};
    static constexpr std::size_t max_parts = 1024;
    static constexpr std::size_t max_quarantined = 64;
    static constexpr std::size_t max_proved_parts = 4096;

    explicit part_quarantine(peer_ip self = {}) : self_{self} {}

    /// The daemons that may be chosen for trials, this one included if it may.
    void set_fleet(std::vector<peer_ip> daemons)
    {
        daemons_ = std::move(daemons);
    }

    /// This daemon's request was in flight when `target` crashed at `at`.
    void on_crash(id_digest target, id_digest pool, std::uint32_t request,
                  prompt_parts const& parts, base::time_point at);
    /// This daemon's request with these parts has run well.
    void on_proof(id_digest pool, prompt_parts const& parts,
                  base::time_point now);
    /// The same from the report of another daemon.
    void on_reported(part_crash const& c, base::time_point now);
    void on_reported(part_proof const& p, base::time_point now);

    /// Whether a request with these parts must not be sent to the pool. A part
    /// that crashed targets of another pool is kept from this one as well,
    /// unless it has run well there.
    bool is_blocked(id_digest pool, prompt_parts const& parts,
                    base::time_point now) const;
    /// Whether a blocked request may be sent now, as a trial of the parts that
    /// block it.
    bool may_try(id_digest pool, prompt_parts const& parts,
                 base::time_point now) const;
    /// It is sent, which uses the trial up.
    void on_trial(id_digest pool, prompt_parts const& parts,
                  base::time_point now);
    /// Parts in quarantine, in ascending order.
    prompt_parts quarantined(base::time_point now) const;
    /// Changes whenever `quarantined` does, other than by time.
    std::uint64_t revision() const { return revision_; }

    /// Own crashes that are not older than `max_age`, oldest first, and, if
    /// `with_quarantined`, the evidence against quarantined parts, which keeps
    /// daemons informed that were not there at the time.
    std::vector<part_crash> reported_crashes(base::time_point now,
                                             base::duration max_age,
                                             bool with_quarantined) const;
    /// Proofs for parts that others may suspect.
    std::vector<part_proof> reported_proofs(base::time_point now) const;

private:
    static constexpr std::size_t max_crashes = 128;
    /// A trial is kept and reported as a crash of this target. It says nothing
    /// against the part.
    static constexpr id_digest trial_target{0};
    static constexpr std::size_t max_proofs = 4;

    struct crash
    {
        id_digest target_{};
        id_digest pool_{};
        std::uint32_t request_ = 0;
        base::time_point at_;
        bool is_own_ = false;

        bool is_trial() const { return target_ == trial_target; }
    };

    struct proof
    {
        id_digest pool_{};
        base::time_point at_;
    };

    struct record
    {
        /// Ascending by time.
        std::vector<crash> crashes_;
        std::uint8_t place_ = 0;
        /// When another daemon last named it a suspect.
        base::time_point reported_at_{};

        base::time_point last_crash() const;
    };

    using entry = std::pair<prompt_part const, record>;

    /// How strongly the crashes that nothing else explains point to a part, the
    /// most important first.
    struct weight
    {
        bool is_new_ = false;
        int failures_ = 0;
        int crashes_ = 0;
        std::uint8_t place_ = 0;
        std::size_t requests_ = 0;
        prompt_part part_{};

        auto operator<=>(weight const&) const = default;
        bool is_enough() const
        {
            return crashes_ >=
                       (is_new_ ? crashes_for_quarantine : crashes_if_known) &&
                   requests_ >= requests_for_quarantine;
        }
    };

    void add(prompt_part part, std::uint8_t place, crash const& c);
    void add(prompt_part part, proof const& p);
    void evict_oldest_record();
    void evict_old_proofs();
    base::time_point proved_at(prompt_part part, id_digest pool) const;
    /// No request with the part has run well in the pool since.
    bool is_open(prompt_part part, crash const& c) const
    {
        return c.at_ > proved_at(part, c.pool_);
    }
    bool does_block(prompt_part part, id_digest pool,
                    base::time_point now) const;
    /// Trials by any daemon that have not run well.
    std::size_t open_trials(prompt_part part, record const& r) const;
    /// This daemon may let a request with the part through.
    bool is_trial_due(prompt_part part, base::time_point now) const;
    weight weigh(entry const& suspect,
                 absl::flat_hash_set<id_digest> const& explained) const;
    void judge();

    peer_ip self_;
    std::vector<peer_ip> daemons_;
    absl::flat_hash_map<prompt_part, record> records_;
    absl::flat_hash_map<prompt_part, std::vector<proof>> proofs_;
    absl::flat_hash_set<prompt_part> quarantined_;
    /// Crashed targets whose crash a quarantined part explains.
    absl::flat_hash_set<id_digest> explained_;
    std::uint64_t revision_ = 0;
    base::time_point newest_crash_{};
    /// When another daemon last named a suspect.
    base::time_point newest_report_{};
};

} // namespace tanagerlead::routing
