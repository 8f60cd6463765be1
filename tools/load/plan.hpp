#pragma once

#include "tools/load/scenario.hpp"

#include <string>
#include <vector>

namespace tanagerlead::load
{

/// One message of a conversation.
struct message
{
    bool from_assistant_ = false;
    std::string text_;
};

/// One request, known in full before the run: the fakes' answers follow from
/// their prompts, so later turns of a conversation do too.
struct planned_request
{
    /// After the start of the run.
    base::duration at_{};
    /// Position in the plan.
    std::size_t number_ = 0;
    /// Index into `scenario::workspaces_`.
    std::size_t workspace_ = 0;
    std::vector<message> messages_;
    base::token_count output_tokens_ = 0;
    /// Text that the answer must have.
    std::string expected_;
    /// Set when the request must not be repeated.
    std::string idempotency_key_;
};

/// In order of arrival; the same for the same scenario.
std::vector<planned_request> make_plan(scenario const& from);

/// The words of all messages, as an engine reads them.
std::string prompt_text(planned_request const& request);

} // namespace tanagerlead::load
