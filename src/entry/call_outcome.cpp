#include "src/entry/call_outcome.hpp"

namespace tanagerlead::entry
{

char const* to_string(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::complete:
        return "complete";
    case call_outcome::target_error:
        return "target_error";
    case call_outcome::refused:
        return "refused";
    case call_outcome::failed:
        return "failed";
    case call_outcome::cut:
        return "cut";
    case call_outcome::caller_left:
        return "caller_left";
    }
    return "unknown";
}

} // namespace tanagerlead::entry
