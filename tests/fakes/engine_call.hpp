#pragma once

#include "src/base/error.hpp"
#include "tests/fakes/engine_model.hpp"

#include <string>

namespace tanagerlead::fakes
{

/// A completion call as a caller sent it.
struct engine_call
{
    std::string id_;
    bool chat_ = false;
    bool stream_ = false;
    std::string model_;
    std::string text_;
    base::token_count output_tokens_ = 0;
};

/// Reads the JSON body of `/v1/chat/completions` (`chat`) or
/// `/v1/completions`.
base::result<engine_call> read_call(std::string const& body, bool chat);

/// Writes the answer to one call.
class answer_writer
{
public:
    explicit answer_writer(engine_call const& call);

    /// One server-sent event with the word at `position`.
    std::string token_event(std::uint64_t prompt_hash,
                            base::token_count position) const;
    /// The chunk with `usage` and the `[DONE]` after it.
    std::string last_events(sequence_progress const& progress) const;
    /// Body of an answer that is not streamed.
    std::string whole_answer(sequence_progress const& progress) const;

private:
    std::string id_;
    std::string model_;
    bool chat_;
    /// Start of each chunk.
    std::string head_;
};

} // namespace tanagerlead::fakes
