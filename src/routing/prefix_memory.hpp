#pragma once

#include "src/base/units.hpp"
#include "src/routing/prompt_part.hpp"

#include <vector>

namespace tanagerlead::routing
{

/// What one start of a target keeps of the prompts that this daemon sent
/// there. A model: the target drops the parts that were unused for longest when
/// its memory is full. Bounded in size.
class prefix_memory
{
public:
    /// Parts remembered for a target.
    static constexpr std::size_t max_parts = 64;
    /// A part that was unused for longer is taken as dropped, since requests of
    /// other daemons fill the memory as well.
    static constexpr base::duration max_unused = std::chrono::seconds{30};

    /// The target reads this prompt. At most `room` tokens are kept.
    void on_read(sized_prompt_parts const& prompt, base::token_count room,
                 base::time_point now);
    void clear() { parts_.clear(); }

    /// Tokens at the beginning of the prompt that need not be read again. A
    /// part counts only if all parts before it are kept.
    base::token_count kept(sized_prompt_parts const& prompt,
                           base::time_point now) const;
    std::size_t size() const { return parts_.size(); }

private:
    struct kept_part
    {
        /// Identifies the part and all those before it.
        std::uint64_t chain_ = 0;
        base::token_count tokens_ = 0;
        base::time_point used_at_;
    };

    kept_part const* find(std::uint64_t chain) const;

    /// The part that was used last comes first.
    std::vector<kept_part> parts_;
};

} // namespace tanagerlead::routing
