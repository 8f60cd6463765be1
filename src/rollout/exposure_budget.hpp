#pragma once

#include <cstddef>
#include <cstdint>

namespace tanagerlead::rollout
{

/// Limits what one daemon sends to a version on trial, so that all daemons
/// together stay within `share` of the pool's requests since the order plus
/// `slack`. Each daemon counts its own requests and uses an equal part of the
/// slack, so the bound holds without messages between them.
class exposure_budget
{
public:
    struct settings
    {
        double share_ = 0.1;
        double slack_ = 50;
    };

    /// `daemons`: number known when the order arrived; 0 for a daemon that
    /// started later, which has no part of the slack.
    exposure_budget(settings const& s, std::size_t daemons);

    void on_request() { ++requests_; }
    /// Uses one send to the version on trial; false when there is none left.
    bool try_take();
    std::uint64_t taken() const { return taken_; }

private:
    double share_;
    double slack_part_;
    std::uint64_t requests_ = 0;
    std::uint64_t taken_ = 0;
};

} // namespace tanagerlead::rollout
