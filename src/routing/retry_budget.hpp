#pragma once

#include "src/base/ids.hpp"
#include "src/base/units.hpp"

#include <array>
#include <map>

namespace tanagerlead::routing
{

/// Repeats that one daemon may send, so that all daemons together stay within
/// `ratio` of a pool's requests plus `slack` in any window. Each daemon uses
/// its own requests and an equal part of the slack, so the bound holds without
/// any message between them.
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

    /// Daemons among which the slack is divided.
    void set_daemons(std::size_t count) { daemons_ = count; }

    void on_request(base::pool_id const& pool, base::time_point now);
    /// Spends one repeat; false when there is none left.
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

    counts& at(base::pool_id const& pool, base::time_point now);

    settings settings_;
    std::size_t daemons_ = 1;
    std::map<base::pool_id, counts> pools_;
};

} // namespace tanagerlead::routing
