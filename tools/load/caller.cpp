#include "tools/load/caller.hpp"

#include "src/base/random.hpp"
#include "tools/load/event_reader.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <thread>

namespace tanagerlead::load
{

namespace
{

using nlohmann::json;

constexpr auto connect_timeout = std::chrono::seconds{1};
constexpr int ok_status = 200;

std::string model_body(planned_request const& request,
                       workspace_load const& workspace)
{
    auto messages = json::array();
    for (auto const& one : request.messages_)
    {
        messages.push_back(
            {{"role", one.from_assistant_ ? "assistant" : "user"},
             {"content", one.text_}});
    }
    json const body{{"model", workspace.pool_},
                    {"stream", true},
                    {"max_tokens", request.output_tokens_},
                    {"tanagerlead_fake_output_tokens", request.output_tokens_},
                    {"messages", std::move(messages)}};
    return body.dump();
}

std::string token_text(std::string const& data)
{
    auto const chunk = json::parse(data, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices") ||
        chunk["choices"].empty())
    {
        return {};
    }
    auto const& choice = chunk["choices"][0];
    return choice.contains("delta") ? choice["delta"].value("content", "")
                                    : choice.value("text", "");
}

result_kind kind_of(std::string const& outcome)
{
    if (outcome == "complete")
    {
        return result_kind::complete;
    }
    if (outcome == "not_run")
    {
        return result_kind::refused;
    }
    return outcome == "unknown" ? result_kind::unknown : result_kind::failed;
}

} // namespace

char const* to_string(result_kind kind)
{
    constexpr std::array names{"complete", "refused", "unknown",
                               "cut",      "wrong",   "failed"};
    return names.at(static_cast<std::size_t>(kind));
}

/// One try of one request on one connection.
class caller::exchange
{
public:
    exchange(caller const& owner, planned_request const& request,
             base::time_point arrival)
        : owner_{owner}, request_{request},
          workspace_{owner.scenario_.workspaces_[request.workspace_]},
          arrival_{arrival}, events_{[this](server_event const& event)
                                     {
                                         take(event);
                                     }}
    {
    }

    /// False when nothing was sent.
    bool run(base::address const& where)
    {
        httplib::Client client{where.ip_, where.port_};
        client.set_connection_timeout(connect_timeout);
        client.set_read_timeout(owner_.scenario_.patience_);
        client.set_write_timeout(owner_.scenario_.patience_);
        client.set_tcp_nodelay(true);
        auto const answered = client.send(make_request());
        result_.total_ = owner_.clock_.now() - arrival_;
        if (!answered &&
            (answered.error() == httplib::Error::Connection ||
             answered.error() == httplib::Error::ConnectionTimeout))
        {
            result_.cause_ = "no connection";
            return false;
        }
        if (!answered)
        {
            result_.cause_ = httplib::to_string(answered.error());
        }
        conclude();
        return true;
    }

    request_result take_result() { return std::move(result_); }
    base::duration retry_after() const { return retry_after_; }

private:
    httplib::Request make_request()
    {
        httplib::Request out;
        out.method = "POST";
        out.headers = {{"Authorization", "Bearer " + workspace_.key_}};
        if (workspace_.kind_ == request_kind::service)
        {
            auto const path = owner_.direct_
                                  ? std::string{}
                                  : "/v1/services/" + workspace_.pool_;
            out.path = path + "/echo";
            out.body = request_.messages_.back().text_;
            out.headers.emplace("Content-Type", "text/plain");
        }
        else
        {
            out.path = "/v1/chat/completions";
            out.body = model_body(request_, workspace_);
            out.headers.emplace("Content-Type", "application/json");
        }
        if (owner_.direct_)
        {
            out.headers.emplace("X-Request-Id", direct_id());
        }
        add_promises(out);
        out.response_handler = [this](httplib::Response const& head)
        {
            read_head(head);
            return true;
        };
        out.content_receiver = [this](char const* data, std::size_t length,
                                      std::uint64_t, std::uint64_t)
        {
            receive({data, length});
            return true;
        };
        return out;
    }

    std::string direct_id() const
    {
        return owner_.direct_prefix_ + std::to_string(request_.number_);
    }

    void add_promises(httplib::Request& out) const
    {
        auto const once = !request_.idempotency_key_.empty();
        if (once)
        {
            out.headers.emplace("Idempotency-Key", request_.idempotency_key_);
        }
        // A call to a service counts as one not to be repeated unless it says
        // otherwise.
        out.headers.emplace("X-Non-Idempotent", once ? "true" : "false");
        if (workspace_.deadline_ > base::duration::zero())
        {
            auto const left =
                arrival_ + workspace_.deadline_ - owner_.clock_.now();
            auto const ms = static_cast<long>(base::milliseconds(left));
            out.headers.emplace("X-Deadline-Ms",
                                std::to_string(std::max(ms, 1L)));
        }
    }

    void read_head(httplib::Response const& head)
    {
        status_ = head.status;
        result_.id_ = owner_.direct_
                          ? direct_id()
                          : head.get_header_value("X-Tanagerlead-Request");
        outcome_ = head.get_header_value("X-Tanagerlead-Outcome");
        result_.cause_ = head.get_header_value("X-Tanagerlead-Cause");
        auto const type = head.get_header_value("Content-Type");
        streamed_ = type.rfind("text/event-stream", 0) == 0;
        auto const retry = head.get_header_value("X-Retry-After-Ms");
        long ms = 0;
        std::from_chars(retry.data(), retry.data() + retry.size(), ms);
        retry_after_ = std::chrono::milliseconds{ms};
    }

    void receive(std::string_view bytes)
    {
        if (streamed_)
        {
            events_.add(bytes);
            return;
        }
        text_ += bytes;
    }

    void take(server_event const& event)
    {
        if (event.name_ == "outcome")
        {
            auto const data = json::parse(event.data_, nullptr, false);
            ended_ = data.is_object();
            outcome_ = ended_ ? data.value("outcome", "") : "";
            return;
        }
        if (event.data_ == "[DONE]")
        {
            done_ = true;
            return;
        }
        auto const text = token_text(event.data_);
        if (!text.empty())
        {
            text_ += text;
            note_token();
        }
    }

    void note_token()
    {
        auto const now = owner_.clock_.now();
        if (last_token_ == base::time_point{})
        {
            result_.first_token_ = now - arrival_;
        }
        else
        {
            result_.gaps_.push_back(now - last_token_);
        }
        last_token_ = now;
    }

    void conclude()
    {
        result_.workspace_ = request_.workspace_;
        result_.kind_ = judge();
        result_.in_time_ = result_.kind_ == result_kind::complete &&
                           (workspace_.deadline_ == base::duration::zero() ||
                            result_.total_ <= workspace_.deadline_);
        if (result_.kind_ == result_kind::failed && result_.cause_.empty())
        {
            result_.cause_ = "status " + std::to_string(status_);
        }
    }

    result_kind judge()
    {
        if (streamed_)
        {
            return judge_stream();
        }
        if (owner_.direct_ && status_ == ok_status)
        {
            outcome_ = "complete";
        }
        auto const kind = kind_of(outcome_);
        if (kind != result_kind::complete)
        {
            return kind;
        }
        auto const answer = json::parse(text_, nullptr, false);
        auto const right = answer.is_object() &&
                           answer.value("body", "") == request_.expected_;
        result_.first_token_ = result_.total_;
        return right ? kind : result_kind::wrong;
    }

    result_kind judge_stream() const
    {
        if (request_.expected_.rfind(text_, 0) != 0)
        {
            return result_kind::wrong;
        }
        if (owner_.direct_ ? !done_ : !ended_)
        {
            return result_kind::cut;
        }
        auto const kind =
            owner_.direct_ ? result_kind::complete : kind_of(outcome_);
        // Complete means whole.
        if (kind == result_kind::complete &&
            (text_ != request_.expected_ || !done_))
        {
            return result_kind::wrong;
        }
        return kind;
    }

    caller const& owner_;
    planned_request const& request_;
    workspace_load const& workspace_;
    base::time_point arrival_;
    event_reader events_;
    request_result result_;
    int status_ = 0;
    bool streamed_ = false;
    bool done_ = false;
    bool ended_ = false;
    std::string outcome_;
    std::string text_;
    base::time_point last_token_;
    base::duration retry_after_{};
};

caller::caller(scenario const& from, entry_cache& entries, bool direct)
    : scenario_{from}, entries_{entries}, direct_{direct},
      direct_prefix_{std::to_string(base::entropy()) + '-'}
{
}

request_result caller::run(planned_request const& request,
                           base::time_point arrival)
{
    auto const& workspace = scenario_.workspaces_[request.workspace_];
    auto const late = clock_.now() - arrival;
    request_result result;
    for (int tries = 0; tries <= workspace.retries_; ++tries)
    {
        base::duration wait{};
        for (auto const& where : entries_.entries_for(workspace))
        {
            exchange one{*this, request, arrival};
            auto const sent = one.run(where);
            result = one.take_result();
            wait = one.retry_after();
            if (sent)
            {
                break;
            }
        }
        if (result.kind_ != result_kind::refused || tries == workspace.retries_)
        {
            break;
        }
        std::this_thread::sleep_for(wait);
    }
    result.workspace_ = request.workspace_;
    result.late_ = late;
    return result;
}

} // namespace tanagerlead::load
