#include "tests/fakes/service_server.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace tanagerlead::fakes
{

namespace
{

nlohmann::json to_json(std::map<std::string, int> const& counts,
                       char const* name)
{
    auto list = nlohmann::json::array();
    for (auto const& [text, count] : counts)
    {
        list.push_back({{name, text}, {"count", count}});
    }
    return list;
}

void count(std::map<std::string, int>& counts, std::string const& text)
{
    if (!text.empty())
    {
        ++counts[text];
    }
}

} // namespace

service_server::service_server(service_settings settings)
    : settings_{std::move(settings)}, http_{settings_.http_,
                                            {[this](httplib::Server& server)
                                             { add_routes(server); },
                                             [this](bool totals_only)
                                             { return log_json(totals_only); },
                                             [this](fault_switches const&)
                                             {
                                                 wake_calls();
                                             }}}
{
}

service_server::~service_server()
{
    stop();
}

base::result<void> service_server::start()
{
    return http_.start();
}

void service_server::stop()
{
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    http_.stop();
}

void service_server::wake_calls()
{
    // Under the lock, or a call about to wait would miss it.
    std::lock_guard const lock{mutex_};
    changed_.notify_all();
}

void service_server::add_routes(httplib::Server& server)
{
    server.Get("/health", [](httplib::Request const&, httplib::Response& answer)
               { answer.set_content("{}", "application/json"); });
    auto const handler =
        [this](httplib::Request const& request, httplib::Response& response)
    {
        run(request, response);
    };
    auto const* const any_path = "/.*";
    server.Get(any_path, handler);
    server.Post(any_path, handler);
    server.Put(any_path, handler);
    server.Patch(any_path, handler);
    server.Delete(any_path, handler);
}

void service_server::run(httplib::Request const& request,
                         httplib::Response& response)
{
    auto const id = request.get_header_value("X-Request-Id");
    {
        std::lock_guard const lock{mutex_};
        ++runs_;
        count(runs_by_request_, id);
        count(runs_by_key_, request.get_header_value("Idempotency-Key"));
    }
    auto const marker = http_.faults().crash_marker_;
    if (!marker.empty() && request.body.find(marker) != std::string::npos)
    {
        settings_.crash_();
    }
    if (!work())
    {
        response.status = 503;
        return;
    }
    http_.wait_while_silenced(remote_end(request));
    nlohmann::json const echo{{"service", settings_.name_},
                              {"method", request.method},
                              {"path", request.path},
                              {"body", request.body},
                              {"request_id", id}};
    response.set_header("X-Request-Id", id);
    response.set_content(
        echo.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        "application/json");
}

bool service_server::work()
{
    std::unique_lock lock{mutex_};
    changed_.wait(lock,
                  [this] { return stopping_ || running_ < settings_.slots_; });
    ++running_;
    auto const slow = http_.faults().slow_factor_;
    auto const time =
        base::from_seconds(base::seconds(settings_.delay_) * slow);
    changed_.wait_for(lock, time, [this] { return stopping_; });
    // Frozen calls end when the fault does.
    changed_.wait(lock, [this]
                  { return stopping_ || !http_.faults().freeze_first_token_; });
    --running_;
    changed_.notify_all();
    return !stopping_;
}

std::string service_server::log_json(bool totals_only) const
{
    std::lock_guard const lock{mutex_};
    nlohmann::json log{{"name", settings_.name_},
                       {"totals", {{"dispatched", runs_}}}};
    if (!totals_only)
    {
        log["requests"] = to_json(runs_by_request_, "id");
        log["idempotency_keys"] = to_json(runs_by_key_, "key");
    }
    return log.dump();
}

} // namespace tanagerlead::fakes
