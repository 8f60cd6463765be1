#include "src/http/generation_body.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

namespace
{

using nlohmann::json;

/// Assumed when the caller does not limit the answer.
constexpr base::token_count usual_output_tokens = 1024;
constexpr base::token_count most_output_tokens = 1'000'000;

auto invalid(std::string detail)
{
    return base::fail(base::error_code::invalid_argument, "read request", {},
                      std::move(detail));
}

/// Text of a string or of a list of {"type":"text","text":...} parts.
bool append_content(json const& content, std::string& out)
{
    if (content.is_string())
    {
        out += content.get_ref<std::string const&>();
        return true;
    }
    if (!content.is_array())
    {
        return content.is_null();
    }
    for (auto const& part : content)
    {
        if (!part.is_object())
        {
            return false;
        }
        auto const text = part.find("text");
        if (text != part.end() && text->is_string())
        {
            out += text->get_ref<std::string const&>();
            out += ' ';
        }
    }
    return true;
}

bool append_message(json const& message, std::string& out)
{
    if (!message.is_object())
    {
        return false;
    }
    auto const role = message.find("role");
    if (role == message.end() || !role->is_string())
    {
        return false;
    }
    out += role->get_ref<std::string const&>();
    out += ' ';
    auto const content = message.find("content");
    if (content != message.end() && !append_content(*content, out))
    {
        return false;
    }
    out += '\n';
    return true;
}

base::result<void> read_messages(json const& body, std::string& out)
{
    auto const messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
    {
        return invalid("messages: a list with at least one message is needed");
    }
    for (std::size_t i = 0; i < messages->size(); ++i)
    {
        if (!append_message((*messages)[i], out))
        {
            return invalid("messages/" + std::to_string(i) +
                           ": needs a role and a content");
        }
    }
    return base::success();
}

base::result<void> read_prompt(json const& body, std::string& out)
{
    auto const prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string())
    {
        out = prompt->get<std::string>();
        return base::success();
    }
    if (prompt == body.end() || !prompt->is_array() || prompt->empty())
    {
        return invalid("prompt: a string or a list of strings is needed");
    }
    for (auto const& part : *prompt)
    {
        if (!part.is_string())
        {
            return invalid("prompt: a string or a list of strings is needed");
        }
        out += part.get_ref<std::string const&>();
        out += '\n';
    }
    return base::success();
}

base::result<base::token_count> read_limit(json const& body)
{
    for (auto const* name : {"max_completion_tokens", "max_tokens"})
    {
        auto const limit = body.find(name);
        if (limit == body.end() || limit->is_null())
        {
            continue;
        }
        if (!limit->is_number_unsigned() || *limit < 1 ||
            *limit > most_output_tokens)
        {
            return invalid(std::string{name} + ": must be from 1 to " +
                           std::to_string(most_output_tokens));
        }
        return limit->get<base::token_count>();
    }
    return usual_output_tokens;
}

base::result<bool> read_stream(json const& body)
{
    auto const stream = body.find("stream");
    if (stream == body.end() || stream->is_null())
    {
        return false;
    }
    if (!stream->is_boolean())
    {
        return invalid("stream: must be true or false");
    }
    return stream->get<bool>();
}

} // namespace

base::result<generation_body> parse_generation(std::string_view text,
                                               generation_kind kind)
{
    constexpr bool allow_exceptions = false;
    auto const body = json::parse(text, nullptr, allow_exceptions);
    if (!body.is_object())
    {
        return invalid("the body is not a JSON object");
    }
    auto const model = body.find("model");
    if (model == body.end() || !model->is_string() ||
        model->get_ref<std::string const&>().empty())
    {
        return invalid("model: a name is needed");
    }
    generation_body result;
    result.model_ = base::pool_id{model->get<std::string>()};
    BOOST_OUTCOME_TRY(kind == generation_kind::chat
                          ? read_messages(body, result.prompt_)
                          : read_prompt(body, result.prompt_));
    BOOST_OUTCOME_TRY(result.stream_, read_stream(body));
    BOOST_OUTCOME_TRY(result.max_output_tokens_, read_limit(body));
    return result;
}

} // namespace tanagerlead::http
