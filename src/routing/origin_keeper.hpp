#pragma once

#include "src/routing/origin_archive.hpp"
#include "src/routing/stream_starts.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tanagerlead::routing
{

/// Decides what a daemon keeps in the store about the origins of its streams,
/// and when a stream may begin. The starts of streams tell the version of a
/// stream while a route uses one version. Before the starts name a second one,
/// the origins of the streams that began until then are kept.
class origin_keeper
{
public:
    /// Whether a stream that began in the pool until `until` is not in the
    /// archive yet, since its version is still to be found out.
    using unresolved_finder =
        std::function<bool(base::pool_id const& pool, base::time_point until)>;

    origin_keeper(daemon_incarnation self, unresolved_finder has_unresolved)
        : has_unresolved_{std::move(has_unresolved)}, starts_{self}
    {
    }

    /// The targets of all pools.
    void set_targets(std::vector<target_info> const& targets,
                     base::time_point now);
    /// Daemons that begin streams, this one included.
    void set_fleet_size(std::size_t daemons)
    {
        archive_.set_fleet_size(daemons);
    }

    /// A stream of `pool` is about to begin, or to go on.
    begin_permission may_begin(stream_start const& start,
                               base::pool_id const& pool, base::time_point now);
    /// A stream for which `start` was kept began at `begun_at`. Its version may
    /// be another one, if its target had started again unnoticed.
    void on_begun(stream_start const& start, base::pool_id const& pool,
                  stream_origin origin, base::time_point begun_at,
                  base::time_point now);
    /// A stream goes on here at the version that began it.
    void on_resumed(base::pool_id const& pool, stream_origin origin,
                    base::time_point now)
    {
        archive_.on_begun(pool, origin, now);
    }

    /// The list of starts to be written now, if it has changed.
    std::optional<stream_starts::update> take_starts(base::time_point now);
    void on_starts_kept(stream_starts::revision written)
    {
        starts_.on_kept(written);
    }
    /// The origins to be written now.
    std::vector<origin_archive::batch> take_origins(base::time_point now)
    {
        return archive_.take_due(now);
    }
    void on_origins_kept(origin_archive::batch_number written)
    {
        archive_.on_kept(written);
    }
    void on_origins_lost(origin_archive::batch_number lost,
                         base::time_point now)
    {
        archive_.on_failed(lost, now);
    }
    base::time_point next_wakeup(base::time_point now) const;

    /// What is known of the targets.
    origin_archive const& archive() const { return archive_; }
    std::uint64_t late_starts() const { return starts_.late_count(); }

private:
    /// A start that is not listed yet.
    struct held_start
    {
        base::time_point since_;
        /// Versions that serve and cannot be told from that of the start once
        /// it is listed, and their pools.
        std::set<version_digest> others_;
        std::set<base::pool_id> pools_;
    };

    /// Interval of looks for origins that have become known.
    static constexpr base::duration recheck_interval =
        std::chrono::milliseconds{20};
    /// Versions that have left are dropped from the starts in one go.
    static constexpr base::duration retire_margin = std::chrono::seconds{1};

    std::set<version_digest> others_of(stream_start const& start,
                                       base::pool_id const& pool) const;
    void hold(stream_start const& start, std::set<version_digest> others,
              base::time_point now);
    /// Whether the origins of the streams that began before are in the store.
    bool are_others_kept(held_start const& held, base::time_point now);
    void list_held_starts(base::time_point now);
    bool may_be_late(stream_start const& start, base::pool_id const& pool,
                     base::time_point now) const;
    void update_ambiguous(base::time_point now);

    unresolved_finder has_unresolved_;
    origin_archive archive_;
    stream_starts starts_;
    std::map<stream_start, held_start> held_;
    base::time_point retire_at_ = base::time_point::max();
};

} // namespace tanagerlead::routing
