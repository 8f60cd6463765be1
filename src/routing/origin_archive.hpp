#pragma once

#include "src/routing/id_digest.hpp"
#include "src/routing/origin_finding.hpp"
#include "src/routing/stream_origin.hpp"
#include "src/routing/target_info.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tanagerlead::routing
{

/// Decides which origins of streams are kept in the store, where they outlive
/// all daemons, and when. While targets of two versions serve a pool, or a
/// route uses several pools, and shortly after, the version that began a stream
/// cannot be inferred once the daemons that know it are gone. At other times
/// `stream_starts` tell it, and nothing is kept here.
///
/// The origins of a daemon are written in batches whose interval grows with the
/// fleet, so all daemons together write at most every `interval_per_daemon`.
class origin_archive
{
public:
    static constexpr base::duration interval_per_daemon =
        std::chrono::milliseconds{20};
    static constexpr base::duration min_interval =
        std::chrono::milliseconds{100};
    /// Pause after a failed write.
    static constexpr base::duration retry_pause = std::chrono::seconds{1};
    /// Longer than a stream lasts, until its caller has taken it up.
    static constexpr base::duration retention = std::chrono::seconds{20};

    /// Identifies a batch that was passed on to be written.
    enum class batch_number : std::uint64_t
    {
    };

    struct batch : stream_message
    {
        batch_number number_{};
    };

    /// The targets of all pools.
    void set_targets(std::vector<target_info> const& targets,
                     base::time_point now);
    /// Versions that the starts of streams do not tell apart.
    void set_ambiguous(std::set<version_digest> versions, base::time_point now);
    /// Daemons that begin streams, this one included.
    void set_fleet_size(std::size_t daemons) { daemons_ = daemons; }
    /// A stream of this daemon began in `pool`, or goes on here.
    void on_begun(base::pool_id const& pool, stream_origin origin,
                  base::time_point now)
    {
        on_begun(pool, origin, now, now);
    }
    /// The version of a stream that began at `begun_at` has been found out.
    void on_begun(base::pool_id const& pool, stream_origin origin,
                  base::time_point begun_at, base::time_point now);
    /// Whether origins of streams in this pool are kept in the store now.
    bool keeps(base::pool_id const& pool, base::time_point now) const;
    /// `none` if all streams of the version's pool that may still be taken up
    /// began at this version, as far as this daemon has seen.
    origin_gap find_gap(version_digest version, base::time_point now) const;
    bool serves_alone(version_digest version, base::time_point now) const
    {
        return find_gap(version, now) == origin_gap::none;
    }
    bool serves(version_digest version) const;
    /// The pool with targets of this version, now or until a short while ago.
    std::optional<base::pool_id> pool_of(version_digest version) const;
    /// Whether targets of both versions may have served one pool. A version
    /// that is not known here may belong to any pool.
    bool may_share_pool(version_digest a, version_digest b) const;
    /// Whether a target with one of these ids, which are sorted, now serves the
    /// pool of `version` with another version.
    bool has_changed_target(version_digest version,
                            std::vector<id_digest> const& ids) const;
    /// Versions that serve, or did until a short while ago.
    std::set<version_digest> known_versions(base::time_point now) const;
    /// Ids of the targets of all pools.
    std::vector<id_digest> target_ids() const;

    /// Writes the origins of the pool without waiting for others.
    void write_at_once(base::pool_id const& pool, base::time_point now);
    /// Whether all origins of the pool until `until` are in the store.
    bool is_kept(base::pool_id const& pool, base::time_point until) const;
    /// What is to be written now.
    std::vector<batch> take_due(base::time_point now);
    void on_kept(batch_number written) { in_flight_.erase(written); }
    /// The batch is not in the store, or nobody knows whether it is.
    void on_failed(batch_number failed, base::time_point now);
    base::time_point next_wakeup() const { return write_at_; }

private:
    struct pool_record
    {
        /// Versions of the current targets.
        std::set<base::software_version> serving_;
        /// Versions whose last target left a short while ago, and when.
        std::map<base::software_version, base::time_point> left_;
        /// Own origins that are not written yet, about in the order of their
        /// beginning.
        std::deque<std::pair<base::time_point, stream_origin>> unwritten_;
        /// Ids of the targets, and their versions.
        std::vector<std::pair<id_digest, version_digest>> targets_;
        /// A version of the pool is ambiguous.
        bool is_ambiguous_ = false;

        void set_serving(std::set<base::software_version> versions,
                         base::time_point now);
        bool has_versions(base::time_point now) const;
    };

    /// An origin that is being written.
    struct written_origin
    {
        base::pool_id pool_;
        base::time_point begun_at_;
        stream_origin origin_;
    };

    /// Whether origins of the pool are kept.
    static bool keeps(pool_record const& p, base::time_point now);
    void find_ambiguous();
    void schedule(pool_record const& p, base::time_point now);
    base::duration interval() const;

    std::size_t daemons_ = 1;
    std::map<base::pool_id, pool_record> pools_;
    std::set<version_digest> ambiguous_;
    base::time_point write_at_ = base::time_point::max();
    base::time_point not_before_ = base::time_point::min();
    batch_number last_batch_{};
    std::map<batch_number, std::vector<written_origin>> in_flight_;
};

} // namespace tanagerlead::routing
