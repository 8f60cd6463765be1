#include "tests/fakes/engine_call.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tanagerlead::fakes
{

namespace
{

using nlohmann::json;

constexpr base::token_count default_most_tokens = 256;

std::string prompt_text(json const& body, bool chat)
{
    if (!chat)
    {
        return body.at("prompt").get<std::string>();
    }
    std::string text;
    for (auto const& message : body.at("messages"))
    {
        text += message.at("content").get<std::string>();
        text += '\n';
    }
    return text;
}

base::token_count output_tokens(json const& body, std::string const& text)
{
    auto const most = std::max<base::token_count>(
        body.value("max_tokens", default_most_tokens), 1);
    auto const wanted = body.find("tanagerlead_fake_output_tokens");
    if (wanted == body.end())
    {
        return default_answer_tokens(read_prompt(text).hash_, most);
    }
    return std::clamp<base::token_count>(wanted->get<base::token_count>(), 1,
                                         most);
}

json usage(sequence_progress const& progress)
{
    auto const total = progress.prompt_tokens_ + progress.generated_tokens_;
    return {{"prompt_tokens", progress.prompt_tokens_},
            {"completion_tokens", progress.generated_tokens_},
            {"total_tokens", total},
            {"prompt_tokens_details",
             {{"cached_tokens", progress.cached_tokens_}}}};
}

std::string spaced_word(std::uint64_t prompt_hash, base::token_count position)
{
    auto word = answer_word(prompt_hash, position);
    return position == 0 ? word : ' ' + word;
}

} // namespace

base::result<engine_call> read_call(std::string const& body, bool chat)
{
    engine_call call;
    try
    {
        auto const parsed = json::parse(body);
        call.chat_ = chat;
        call.stream_ = parsed.value("stream", false);
        call.model_ = parsed.value("model", "");
        call.text_ = prompt_text(parsed, chat);
        call.output_tokens_ = output_tokens(parsed, call.text_);
    }
    catch (json::exception const& error)
    {
        return base::fail(base::error_code::invalid_argument, "read call", {},
                          error.what());
    }
    return call;
}

answer_writer::answer_writer(engine_call const& call)
    : id_{call.id_}, model_{call.model_}, chat_{call.chat_}
{
    // Chunks are put together by hand, for there is one for each token.
    head_ = R"(data: {"id":)" + json(id_).dump();
    head_ += R"(,"object":")";
    head_ += chat_ ? "chat.completion.chunk" : "text_completion";
    head_ += R"(","created":0,"model":)" + json(model_).dump();
    head_ += chat_ ? R"(,"choices":[{"index":0,"delta":{)"
                   : R"(,"choices":[{"index":0,"text":")";
}

std::string answer_writer::token_event(std::uint64_t prompt_hash,
                                       base::token_count position) const
{
    std::string event = "id: " + std::to_string(position + 1) + '\n' + head_;
    event += chat_ ? R"("content":")" : "";
    event += spaced_word(prompt_hash, position);
    event += chat_ ? R"("})" : R"(")";
    event += R"(,"finish_reason":null}]})";
    event += "\n\n";
    return event;
}

std::string answer_writer::last_events(sequence_progress const& progress) const
{
    auto const id = progress.generated_tokens_ + 1;
    std::string events = "id: " + std::to_string(id) + '\n' + head_;
    events += chat_ ? "}" : R"(")";
    events += R"(,"finish_reason":"stop"}],"usage":)";
    events += usage(progress).dump();
    events += "}\n\ndata: [DONE]\n\n";
    return events;
}

std::string answer_writer::whole_answer(sequence_progress const& progress) const
{
    auto const text =
        answer_text(progress.prompt_hash_, progress.generated_tokens_);
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (chat_)
    {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    json const answer{{"id", id_},
                      {"object", chat_ ? "chat.completion" : "text_completion"},
                      {"created", 0},
                      {"model", model_},
                      {"choices", json::array({choice})},
                      {"usage", usage(progress)}};
    return answer.dump();
}

} // namespace tanagerlead::fakes
