#pragma once

#include "src/membership/member.hpp"

#include <vector>

namespace tanagerlead::membership
{

/// News of members still to be spread; the least often sent go first.
class rumour_list
{
public:
    /// Takes the place of earlier news of the same daemon.
    void add(member const& news);
    void drop(base::daemon_id const& daemon);

    /// At most `most` of them, each counted as sent once more; what has been
    /// sent `most_sends` times is forgotten.
    std::vector<member> pick(std::size_t most, int most_sends);

private:
    struct rumour
    {
        member member_;
        int sent_ = 0;
    };

    std::vector<rumour> rumours_;
};

} // namespace tanagerlead::membership
