#include "src/request/retry_advice.hpp"

namespace tanagerlead::request
{

base::duration retry_advice::around(base::duration typical)
{
    std::lock_guard const lock{mutex_};
    auto const factor = 0.5 + random_.uniform();
    return base::from_seconds(base::seconds(typical) * factor);
}

} // namespace tanagerlead::request
