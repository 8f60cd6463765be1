#pragma once

#include "src/base/units.hpp"
#include "src/request/outcome.hpp"

#include <cstdint>
#include <optional>

namespace tanagerlead::request
{

enum class phase : std::uint8_t
{
    /// Read from the caller; no scheduler knows it.
    received,
    /// Waits for a grant, or for a connection that a grant allowed.
    queued,
    /// A byte of it may have reached a target. There is no way back.
    dispatched,
    complete,
    not_run,
    unknown,
};

constexpr std::size_t phase_count = 6;

char const* to_string(phase value);

/// Life of one request. Asserts that every step is an allowed one. Not
/// thread-safe; the times given must not fall.
class request_state
{
public:
    explicit request_state(base::time_point received);

    phase current() const { return phase_; }
    bool final() const { return phase_ >= phase::complete; }
    /// Empty while the request is not final.
    std::optional<outcome> result() const;

    void queue();
    void dispatch(base::time_point now);
    /// Idempotent; after the first call only the first time counts.
    void first_output(base::time_point now);
    /// Ends the request. `not_run` only before `dispatch`, `complete` only
    /// after it.
    void end(outcome value, base::time_point now);

    base::time_point received() const { return received_; }
    /// Time until the dispatch, or until the end when there was none.
    base::duration waited(base::time_point now) const;
    /// Time since the dispatch; zero before it.
    base::duration since_dispatch(base::time_point now) const;
    /// From the receipt; empty before the first output.
    std::optional<base::duration> to_first_output() const;
    base::duration total(base::time_point now) const;

private:
    void move_to(phase next);

    phase phase_ = phase::received;
    base::time_point received_;
    std::optional<base::time_point> dispatched_;
    std::optional<base::time_point> first_output_;
    std::optional<base::time_point> ended_;
};

} // namespace tanagerlead::request
