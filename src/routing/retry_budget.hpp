#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <array>
#include <map>

namespace tanagerlead::routing
{

/// Limits the retries of one daemon, so that all daemons together stay within
/// `ratio` of a pool's requests plus `slack` in any window. Each daemon counts
/// its own requests and uses an equal share of the slack, so the bound holds
/// without messages between them. A daemon that does not know the fleet yet
/// has no share, and one that loses contact keeps its share.
class retry_budget
{
public:
    struct settings
    {
        double ratio_ = 0.2;
        double slack_ = 50;
        base::duration window_ = std::chrono::seconds{10};
    };

    explicit retry_budget(settings const& s) : settings_{s} {}

    /// Number of daemons that share the slack, as known now. The largest number
    /// of the last minutes counts, since daemons that are cut off go on.
    void on_daemons(std::size_t count, base::time_point now);

    void on_request(base::pool_id const& pool, base::time_point now);
    /// Uses one retry; false when there is none left.
    bool try_take(base::pool_id const& pool, base::time_point now);

private:
    /// The window is divided into this many steps.
    static constexpr std::size_t step_count = 20;

    struct counts
    {
        std::array<int, step_count> requests_{};
        std::array<int, step_count> retries_{};
        std::int64_t step_ = 0;
    };

    std::size_t known_daemons() const;
    counts& at(base::pool_id const& pool, base::time_point now);

    settings settings_;
    /// The largest numbers of daemons in this period and the one before; 0: not
    /// known.
    std::size_t daemons_ = 0;
    std::size_t previous_daemons_ = 0;
    base::time_point period_start_{};
    std::map<base::pool_id, counts> pools_;
};

} // namespace tanagerlead::routing
