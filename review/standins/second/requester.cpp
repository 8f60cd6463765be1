#include "requester.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace tanagerlead::review
{

using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

std::mt19937_64& random_source()
{
    thread_local std::mt19937_64 source{std::random_device{}()};
    return source;
}

/// Takes whole events out of `pending`.
void take_events(std::string& pending, attempt_result& out,
                 std::function<void()> const& on_event)
{
    for (auto end = pending.find("\n\n"); end != std::string::npos;
         end = pending.find("\n\n"))
    {
        auto const at = pending.find("id: ");
        auto const id = at < end ? std::atoi(pending.c_str() + at + 4) : 0;
        out.is_disordered_ = out.is_disordered_ || id != out.last_event_ + 1;
        out.last_event_ = id;
        ++out.events_;
        pending.erase(0, end + 2);
        on_event();
    }
}

} // namespace

std::string configuration(int version, std::vector<route> const& routes)
{
    json out;
    out["Version"] = version;
    out["Routes"] = json::array();
    out["Services"] = json::array();
    std::vector<std::string> services;
    for (auto const& each : routes)
    {
        json entry;
        entry["Name"] = each.name_;
        entry["Host"] = host;
        entry["Prefix"] = each.prefix_;
        entry["Kind"] = each.kind_;
        entry["TimeoutMs"] = each.timeout_ms_;
        entry["TargetLatencyMs"] = each.objective_ms_;
        entry["GapAimMs"] = 400;
        entry["Priority"] = 0;
        entry["Service"] = each.service_;
        entry["MaxAttempts"] = each.max_attempts_;
        entry["AllowAnonymous"] = false;
        entry["ResumeStreams"] = each.resumable_;
        out["Routes"].push_back(entry);
        if (std::find(services.begin(), services.end(), each.service_) ==
            services.end())
        {
            services.push_back(each.service_);
            json service;
            service["Name"] = each.service_;
            service["HealthPath"] = "/health";
            service["MaxConnections"] = 360;
            out["Services"].push_back(service);
        }
    }
    out["Limits"] = {{"MaxHeaderBytes", 16384},
                     {"MaxBodyBytes", 4194304},
                     {"HeaderTimeoutMs", 3000},
                     {"IdleTimeoutMs", 15000}};
    json tenant;
    tenant["Name"] = "hule930";
    tenant["ApiKeys"] = json::array({key});
    tenant["Unit"] = "tokens";
    tenant["PlainTokens"] = 200;
    tenant["RatePerS"] = 0;
    tenant["Burst"] = 0;
    out["Tenants"] = json::array({tenant});
    return out.dump();
}

std::string new_request_id()
{
    std::array<char, 20> text{};
    (void)std::snprintf(text.data(), text.size(), "%016llx",
                        static_cast<unsigned long long>(random_source()()));
    return text.data();
}

address pick(std::vector<address> const& from)
{
    std::uniform_int_distribution<std::size_t> some{0, from.size() - 1};
    return from.at(some(random_source()));
}

std::vector<address> resolve(std::vector<address> const& directories,
                             std::string const& zone)
{
    std::vector<address> out;
    for (std::size_t i = 0; i < directories.size() && i < 3; ++i)
    {
        request asked;
        asked.target_ = std::string{"/v1/resolve?Name="} + host +
                        "&Region=region-a&Zone=" + zone;
        asked.headers_["Host"] = directories[i].str();
        auto const answer = call(directories[i], asked, 1s);
        if (!answer || answer->status_ != 200)
        {
            continue;
        }
        auto const body = json::parse(answer->body_, nullptr, false);
        for (auto const& each : body.at("Addresses"))
        {
            auto const text = each.get<std::string>();
            auto const colon = text.rfind(':');
            out.push_back(
                {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)});
        }
        if (!out.empty())
        {
            break;
        }
    }
    return out;
}

request make_request(std::string const& method, std::string const& target,
                     milliseconds time_left)
{
    request out;
    out.method_ = method;
    out.target_ = target;
    out.headers_["Host"] = host;
    out.headers_["X-Api-Key"] = key;
    out.headers_["Tanagerlead-Request-Id"] = new_request_id();
    out.headers_["Tanagerlead-Deadline-Ms"] = std::to_string(time_left.count());
    return out;
}

attempt_result attempt(address const& to, request const& asked, int after,
                       milliseconds silence, record& log,
                       std::function<void()> const& on_event)
{
    auto const name = "request " + asked.header("tanagerlead-request-id");
    attempt_result out;
    out.last_event_ = after;
    auto const peer = connection::open(to, 1s);
    if (!peer)
    {
        log.add(name + " to " + to.str() + ": no connection");
        return out;
    }
    peer->set_read_timeout(silence);
    auto const head =
        peer->write(to_text(asked)) ? peer->read_head() : std::nullopt;
    if (!head)
    {
        log.add(name + " to " + to.str() + ": no answer");
        return out;
    }
    out.status_ = head->status_;
    out.retry_after_ = std::atof(head->header("retry-after").c_str());
    auto const is_stream = head->header("content-type") == "text/event-stream";
    std::string piece;
    auto state = read_state::more;
    while (state == read_state::more)
    {
        state = peer->read_body(*head, piece);
        out.body_ += piece;
        if (is_stream)
        {
            take_events(out.body_, out, on_event);
        }
    }
    out.is_complete_ = state == read_state::end;
    log.add(name + " to " + to.str() + " after event " + std::to_string(after) +
            ": status " + std::to_string(out.status_) + ", " +
            std::to_string(out.events_) + " events, " +
            (out.is_complete_ ? "complete" : "broken off"));
    return out;
}

} // namespace tanagerlead::review
