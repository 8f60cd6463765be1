#include "src/routing/target_info.hpp"

#include <xxhash.h>

namespace tanagerlead::routing
{

incarnation_digest digest_of(target_info const& target)
{
    auto const text =
        target.id_.str() + '\n' +
        std::to_string(static_cast<std::uint64_t>(target.incarnation_)) + '\n' +
        target.address_.str() + '\n' + target.version_.str();
    return incarnation_digest{XXH64(text.data(), text.size(), 0)};
}

} // namespace tanagerlead::routing
