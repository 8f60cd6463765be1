#include "src/routing/stream_inference.hpp"

#include <algorithm>

namespace tanagerlead::routing
{

namespace
{

using list_refs = std::vector<stream_start_list const*>;

bool is_of_older_build(stream_start_list const* list)
{
    return list->writer_ == unknown_incarnation;
}

/// The lists of daemons that may have begun the stream.
list_refs possible_lists(std::vector<stream_start_list> const& kept,
                         forgotten_stream const& stream)
{
    list_refs out;
    for (auto const& list : kept)
    {
        if (!list.starts_.empty() && !stream.denied_by_.contains(list.writer_))
        {
            out.push_back(&list);
        }
    }
    return out;
}

std::set<version_digest> versions_of_path(list_refs const& lists,
                                          forgotten_stream const& stream)
{
    std::set<version_digest> out;
    for (auto const* const list : lists)
    {
        for (auto const& start : list->starts_)
        {
            if (start.matches(stream.host_, stream.path_))
            {
                out.insert(start.version_);
            }
        }
    }
    return out;
}

// While the store is away, a stream may begin on a route that the list does not
// name yet, at a version that it names for another route of the pool.
bool may_have_begun_elsewhere(list_refs const& lists, version_digest version,
                              origin_archive const& pools)
{
    return std::any_of(
        lists.begin(), lists.end(),
        [&](stream_start_list const* list)
        {
            return !is_of_older_build(list) &&
                   std::any_of(list->starts_.begin(), list->starts_.end(),
                               [&](stream_start const& start)
                               {
                                   return start.version_ != version &&
                                          pools.may_share_pool(start.version_,
                                                               version);
                               });
        });
}

/// Whether another version that serves the pool, or did a short while ago, may
/// have begun a stream that its daemon took for one of `version`.
bool may_be_mistaken(list_refs const& lists, version_digest version,
                     origin_archive const& pools)
{
    return std::any_of(lists.begin(), lists.end(),
                       [&](stream_start_list const* list)
                       {
                           // Its streams may begin before their start is kept.
                           return is_of_older_build(list) ||
                                  pools.has_changed_target(version,
                                                           list->targets_);
                       });
}

} // namespace

// The daemon that began the stream keeps the starts of its streams before these
// begin, and is dead or cannot be asked. So its list is among those that were
// not denied, and names the version.
stream_inference infer_version(std::vector<stream_start_list> const& kept,
                               forgotten_stream const& stream,
                               origin_archive const& pools,
                               base::time_point now)
{
    auto const lists = possible_lists(kept, stream);
    auto const versions = versions_of_path(lists, stream);
    if (versions.empty())
    {
        return {{}, origin_gap::no_start};
    }
    if (versions.size() > 1)
    {
        return {{}, origin_gap::several_versions};
    }
    auto const version = *versions.begin();
    auto const gap = pools.find_gap(version, now);
    if (gap == origin_gap::version_absent)
    {
        return {{}, gap};
    }
    if (may_have_begun_elsewhere(lists, version, pools))
    {
        return {{}, origin_gap::several_versions};
    }
    if (gap != origin_gap::none && may_be_mistaken(lists, version, pools))
    {
        return {{}, gap};
    }
    return {version, origin_gap::none};
}

} // namespace tanagerlead::routing
