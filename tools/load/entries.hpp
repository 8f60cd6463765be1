#pragma once

#include "src/base/address.hpp"
#include "src/base/clock.hpp"
#include "src/base/units.hpp"
#include "tools/load/scenario.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace tanagerlead::load
{

/// Asks the system which of its addresses to use, and keeps the answer as
/// long as it says. Any thread.
class entry_cache
{
public:
    /// `known`: any addresses of the system, tried in order.
    entry_cache(std::vector<base::address> known, bool direct);

    /// Best first; `known` when nobody answers.
    std::vector<base::address> entries_for(workspace_load const& workspace);

private:
    struct kept_answer
    {
        std::vector<base::address> entries_;
        base::time_point until_;
    };

    bool ask(base::address const& where, workspace_load const& workspace,
             kept_answer& answer) const;

    base::steady_clock clock_;
    std::vector<base::address> known_;
    /// The addresses are engines': they are taken in turn and not asked.
    bool direct_;
    std::mutex mutex_;
    std::map<std::string, kept_answer> kept_;
    std::size_t next_direct_ = 0;
};

} // namespace tanagerlead::load
