#pragma once

#include "src/base/serialization.hpp"
#include "src/routing/origin_finding.hpp"
#include "src/routing/stream_origin.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::routing
{

/// Streams of a route begin at targets of this version. The route is named by
/// what it matches, since a later configuration may split or move it.
struct stream_start
{
    std::string host_;
    /// Starts and ends with a slash.
    std::string prefix_;
    version_digest version_{};

    auto operator<=>(stream_start const&) const = default;

    /// Whether a request to this host and path may have used the route.
    bool matches(std::string_view host, std::string_view path) const
    {
        return host == host_ && path.starts_with(prefix_);
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        base::serialize_text(archive, host_);
        base::serialize_text(archive, prefix_);
        archive(version_);
    }
};

/// The starts of one daemon.
struct stream_start_list
{
    static constexpr std::size_t max_items = 10'000;

    std::vector<stream_start> starts_;
    /// False if there are more than fit. Nothing may be inferred then.
    bool is_complete_ = true;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(is_complete_);
        base::serialize_list(archive, starts_, max_items);
    }
};

/// The version that began a stream, given the starts of all daemons. Nothing
/// if there are several candidates, or none.
std::optional<version_digest>
sole_version(std::vector<stream_start> const& starts, std::string_view host,
             std::string_view path);

/// Why `sole_version` found nothing, or `none`.
origin_gap gap_of(std::vector<stream_start> const& starts,
                  std::string_view host, std::string_view path);

/// The versions at which the streams of this daemon begin, by route. They are
/// kept in the store before the first stream begins, so that the origin of a
/// stream can be inferred after the loss of all daemons that knew it.
///
/// While a route uses one version, this takes one write. Where a route uses
/// several, nothing can be inferred, and the origin of each stream is kept (see
/// `origin_archive`).
class stream_starts
{
public:
    /// How long a first stream waits until its start is kept. A start that
    /// cannot be kept makes streams that are taken up be refused; callers of
    /// new streams are better off if these begin.
    static constexpr base::duration max_wait = std::chrono::milliseconds{300};
    /// A stream may still be taken up for so long after its start.
    static constexpr base::duration retention = std::chrono::seconds{20};

    /// Identifies a list that was passed on to be written.
    enum class revision : std::uint64_t
    {
    };

    struct update
    {
        revision revision_{};
        stream_start_list list_;
    };

    /// A stream is about to begin or to go on. False if it has to wait until
    /// its start is kept; the caller asks again.
    bool may_begin(stream_start const& start, base::time_point now);
    /// The list is in the store.
    void on_kept(revision written);
    /// The list to be written now, if it has changed.
    std::optional<update> take_due(base::time_point now);
    base::time_point next_wakeup() const;
    /// Versions whose streams cannot be told from those of another version by
    /// their route.
    std::set<version_digest> const& ambiguous() const { return ambiguous_; }
    /// Starts whose first stream began before they were kept.
    std::uint64_t late_count() const { return late_count_; }

private:
    struct usage
    {
        base::time_point first_wanted_;
        base::time_point last_used_;
        revision added_in_{};
        bool is_late_ = false;
    };

    /// Interval of looks for starts that are no longer used.
    static constexpr base::duration check_interval = std::chrono::seconds{2};

    void on_changed(base::time_point now);
    void drop_unused(base::time_point now);

    std::map<stream_start, usage> starts_;
    std::set<version_digest> ambiguous_;
    base::time_point check_at_ = base::time_point::max();
    revision current_{};
    revision taken_{};
    revision kept_{};
    std::uint64_t late_count_ = 0;
};

} // namespace tanagerlead::routing
