#pragma once

#include "src/base/serialization.hpp"
#include "src/routing/id_digest.hpp"
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
    static constexpr std::size_t max_targets = 4096;

    std::vector<stream_start> starts_;
    /// False if there are more than fit. Nothing may be inferred then.
    bool is_complete_ = true;
    /// The start of a daemon that wrote the list.
    daemon_incarnation writer_ = unknown_incarnation;
    /// Ids of the targets that the daemon knew when it wrote the list.
    std::vector<id_digest> targets_{};

    /// Whether the list names the version, for any route.
    bool names(version_digest version) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(is_complete_);
        base::serialize_list(archive, starts_, max_items);
    }

    /// Follows the starts. Older builds neither write nor read it.
    template <class Archive>
    void serialize_writer(Archive& archive)
    {
        archive(writer_);
        base::serialize_start_of_list(archive, targets_, max_targets);
    }
};

/// Whether a stream may be sent to the target that was chosen for it.
enum class begin_permission : std::uint8_t
{
    granted,
    /// The call has to ask again after a moment.
    wait,
    /// Not at a target of this version, for some time.
    elsewhere,
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
    /// How long a first stream waits until its start is kept.
    static constexpr base::duration max_wait = std::chrono::milliseconds{300};
    /// A stream may still be taken up for so long after its start.
    static constexpr base::duration retention = std::chrono::seconds{20};
    /// Targets that register are added to the list within this time.
    static constexpr base::duration target_refresh = std::chrono::seconds{15};

    stream_starts() = default;
    explicit stream_starts(daemon_incarnation self) : self_{self} {}

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
    /// its start is kept; the caller asks again. `may_be_late`: it need not
    /// wait for longer than `max_wait`.
    bool may_begin(stream_start const& start, base::time_point now,
                   bool may_be_late = true);
    /// Adds the start to the list for a stream that has waited since `since`.
    void add(stream_start const& start, base::time_point since,
             base::time_point now);
    bool contains(stream_start const& start) const
    {
        return starts_.contains(start);
    }
    /// Whether a stream has waited for `max_wait` for this start.
    bool is_overdue(stream_start const& start, base::time_point now) const;
    /// Whether the kept list names the version, for any route.
    bool names(version_digest version) const;
    /// Whether the list, kept or not, names the version, for any route.
    bool lists(version_digest version) const;
    /// Versions in the list, other than that of `start`, at which a stream of
    /// its path may have begun.
    std::set<version_digest> overlapping(stream_start const& start) const;
    std::set<version_digest> versions() const;
    /// Drops versions that serve no longer and that no stream has used for a
    /// while. `known`: those that serve, or did until a short while ago.
    void retire(std::set<version_digest> const& known, base::time_point now);
    /// The targets of all pools.
    void set_targets(std::vector<id_digest> targets, base::time_point now);
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

    bool is_kept(usage const& u) const { return u.added_in_ <= kept_; }
    void use(version_digest version, base::time_point now);

    daemon_incarnation self_ = unknown_incarnation;
    std::map<stream_start, usage> starts_;
    std::vector<id_digest> targets_;
    /// When the list is written again with targets that it does not name.
    base::time_point refresh_at_ = base::time_point::max();
    std::set<version_digest> ambiguous_;
    base::time_point check_at_ = base::time_point::max();
    revision current_{};
    revision taken_{};
    revision kept_{};
    std::uint64_t late_count_ = 0;
};

} // namespace tanagerlead::routing
