#include "src/routing/origin_finding.hpp"

namespace tanagerlead::routing
{

char const* name_of(origin_gap gap)
{
    switch (gap)
    {
    case origin_gap::none:
        return "none";
    case origin_gap::attempt_unnamed:
        return "attempt_unnamed";
    case origin_gap::version_unproved:
        return "version_unproved";
    case origin_gap::registry_lost:
        return "registry_lost";
    case origin_gap::registry_unsettled:
        return "registry_unsettled";
    case origin_gap::starts_unread:
        return "starts_unread";
    case origin_gap::starts_unusable:
        return "starts_unusable";
    case origin_gap::no_start:
        return "no_start";
    case origin_gap::several_versions:
        return "several_versions";
    case origin_gap::version_absent:
        return "version_absent";
    case origin_gap::version_shared:
        return "version_shared";
    case origin_gap::version_left:
        return "version_left";
    }
    return "unknown";
}

} // namespace tanagerlead::routing
