#pragma once

#include "src/base/error.hpp"
#include "src/base/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// The load driver: what callers send, and what they got.
namespace tanagerlead::load
{

/// Both ends included; drawn so that every tenfold step is equally likely.
struct length_range
{
    base::token_count least_ = 1;
    base::token_count most_ = 1;
};

enum class request_kind
{
    model,
    service,
};

/// Conversations whose prompts repeat all earlier turns.
struct thread_settings
{
    /// Conversations under way at one time; 0 means single requests.
    int count_ = 0;
    /// Turns after which a conversation is replaced by a new one.
    int turns_ = 4;
    /// Leading words that all conversations of the workspace share.
    base::token_count shared_tokens_ = 0;
};

struct workspace_load
{
    std::string name_;
    std::string key_;
    /// Label that the report sums by.
    std::string tier_;
    std::string pool_;
    request_kind kind_ = request_kind::model;
    /// Mean arrivals a second.
    double rate_per_s_ = 0.0;
    /// Requests that arrive together; 1 is a Poisson process.
    int burst_ = 1;
    /// Arrivals start this long after the run does.
    base::duration start_{};
    length_range prompt_tokens_;
    length_range output_tokens_;
    thread_settings threads_;
    /// Latest useful end after the arrival; 0 is none.
    base::duration deadline_{};
    /// Part of the calls to a service that must not be repeated.
    double non_idempotent_part_ = 0.0;
    /// Tries after a refusal, each after the time that the refusal names.
    int retries_ = 0;
};

struct scenario
{
    std::uint64_t seed_ = 1;
    /// Arrivals end after this.
    base::duration length_{};
    /// Longest silence on a connection that a caller bears.
    base::duration patience_{};
    std::vector<workspace_load> workspaces_;
};

/// Reads the JSON text of docs/LOAD.md.
base::result<scenario> read_scenario(std::string const& text);

} // namespace tanagerlead::load
