#include "src/request/request_state.hpp"

#include <array>
#include <cassert>

namespace tanagerlead::request
{

namespace
{

using phase_set = std::array<bool, phase_count>;

// Rows: from; columns: to, both in the order of `phase`. A request becomes
// dispatched without being queued when another daemon runs it.
constexpr std::array<phase_set, phase_count> allowed{{
    {false, true, true, false, true, true},
    {false, false, true, false, true, true},
    {false, false, false, true, false, true},
    {},
    {},
    {},
}};

constexpr std::size_t index(phase value)
{
    return static_cast<std::size_t>(value);
}

phase phase_of(outcome value)
{
    switch (value)
    {
    case outcome::complete:
        return phase::complete;
    case outcome::not_run:
        return phase::not_run;
    case outcome::unknown:
        return phase::unknown;
    }
    return phase::unknown;
}

} // namespace

char const* to_string(phase value)
{
    static constexpr std::array names{
        "received", "queued", "dispatched", "complete", "not_run", "unknown",
    };
    return names.at(index(value));
}

request_state::request_state(base::time_point received) : received_{received}
{
}

std::optional<outcome> request_state::result() const
{
    switch (phase_)
    {
    case phase::complete:
        return outcome::complete;
    case phase::not_run:
        return outcome::not_run;
    case phase::unknown:
        return outcome::unknown;
    default:
        return std::nullopt;
    }
}

void request_state::move_to(phase next)
{
    assert(allowed[index(phase_)][index(next)]);
    phase_ = next;
}

void request_state::queue()
{
    move_to(phase::queued);
}

void request_state::dispatch(base::time_point now)
{
    move_to(phase::dispatched);
    dispatched_ = now;
}

void request_state::first_output(base::time_point now)
{
    assert(phase_ == phase::dispatched);
    if (!first_output_)
    {
        first_output_ = now;
    }
}

void request_state::end(outcome value, base::time_point now)
{
    move_to(phase_of(value));
    ended_ = now;
}

base::duration request_state::waited(base::time_point now) const
{
    return dispatched_.value_or(ended_.value_or(now)) - received_;
}

base::duration request_state::since_dispatch(base::time_point now) const
{
    return dispatched_ ? now - *dispatched_ : base::duration{};
}

std::optional<base::duration> request_state::to_first_output() const
{
    if (!first_output_)
    {
        return std::nullopt;
    }
    return *first_output_ - received_;
}

base::duration request_state::total(base::time_point now) const
{
    return ended_.value_or(now) - received_;
}

} // namespace tanagerlead::request
