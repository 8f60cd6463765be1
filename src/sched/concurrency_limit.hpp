#pragma once

#include "src/base/units.hpp"

#include <memory>

namespace tanagerlead::sched
{

/// One answer that ended well, for the limit of its target.
struct service_sample
{
    /// From the dispatch to the end.
    base::duration elapsed_{};
    /// From the dispatch to the first token.
    base::duration first_token_{};
    /// What that time would be without a queue at the target.
    base::duration expected_first_token_{};
    /// Between tokens; zero when there were too few.
    base::duration decode_step_{};
    /// Requests outstanding at the target meanwhile, this one included.
    int outstanding_ = 1;
};

/// How many requests a target may have outstanding.
class concurrency_limit
{
public:
    virtual ~concurrency_limit() = default;

    virtual int limit() const = 0;
    virtual void set_slots(int slots) = 0;
    virtual void on_finished(service_sample const& sample,
                             base::time_point now) = 0;
};

/// Targets take whatever arrives.
class no_limit final : public concurrency_limit
{
public:
    int limit() const override;
    void set_slots(int) override {}
    void on_finished(service_sample const&, base::time_point) override {}
};

/// As many as the target is said to run at one time.
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
