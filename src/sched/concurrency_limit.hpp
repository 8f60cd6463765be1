#pragma once

#include "src/base/units.hpp"

#include <memory>

namespace tanagerlead::sched
{

/// Measurements of one successful answer, by which the limit of its target
/// adapts.
struct service_sample
{
    /// From the dispatch to the end.
    base::duration elapsed_{};
    /// From the dispatch to the first token.
    base::duration first_token_{};
    /// Expected time to the first token without a queue at the target.
    base::duration expected_first_token_{};
    /// Time between tokens; zero when there were too few tokens.
    base::duration decode_step_{};
    /// Requests outstanding at the target meanwhile, including this one.
    int outstanding_ = 1;
};

/// Limits how many requests a target may have outstanding.
class concurrency_limit
{
public:
    virtual ~concurrency_limit() = default;

    virtual int limit() const = 0;
    virtual void set_slots(int slots) = 0;
    virtual void on_finished(service_sample const& sample,
                             base::time_point now) = 0;
};

/// Does not limit the requests at a target.
class no_limit final : public concurrency_limit
{
public:
    int limit() const override;
    void set_slots(int) override {}
    void on_finished(service_sample const&, base::time_point) override {}
};

/// Limits the requests at a target to its configured slots.
class slots_limit final : public concurrency_limit
{
public:
    int limit() const override { return slots_; }
    void set_slots(int slots) override { slots_ = slots; }
    void on_finished(service_sample const&, base::time_point) override {}

private:
    int slots_ = 1;
};

} // namespace tanagerlead::sched
