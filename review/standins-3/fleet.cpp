#include "review/standins-3/fleet.hpp"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <unistd.h>

namespace tanagerlead::review
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

constexpr int slots = 6;

json route(std::string const& name, std::string const& service,
           std::string const& kind, int timeout_ms, int objective_ms,
           int attempts)
{
    return {{"Name", name},
            {"Host", "shop.example"},
            {"Prefix", "/" + name + "/"},
            {"Service", service},
            {"Kind", kind},
            {"TimeoutMs", timeout_ms},
            {"TargetLatencyMs", objective_ms},
            {"Priority", kind == "stream" ? 0 : 1},
            {"MaxAttempts", attempts}};
}

/// Like that of kerlann-connect, with one route for each kind.
std::string configuration()
{
    auto recon = route("recon", "pool", "stream", 5000, 500, 2);
    auto label = route("label", "pool", "stream", 15000, 1200, 2);
    for (auto* const stream : {&recon, &label})
    {
        (*stream)["GapAimMs"] = 400;
        (*stream)["ResumeStreams"] = true;
        (*stream)["StickySessions"] = true;
    }
    return json{
        {"Version", 7},
        {"Routes",
         {recon, label, route("till", "api", "non_idempotent", 800, 150, 1)}},
        {"Services", {{{"Name", "pool"}}, {{"Name", "api"}}}},
        {"Tenants", {{{"Name", "one"}, {"ApiKeys", {"key-1"}}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 4194304},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}}}}
        .dump();
}

/// Loopback addresses that no other run uses at the same time.
std::string ip_of_daemon(int number)
{
    constexpr int nets = 250;
    return "127." + std::to_string(1 + ::getpid() % nets) + ".77." +
           std::to_string(number + 1);
}

} // namespace

deployment::deployment(settings s, record& out)
    : settings_{std::move(s)}, record_{out}, work_{loop_.get_executor()},
      store_{loop_}
{
    store_.put("op/config", configuration());
    add_stream_runners(settings_.stream_runners_, "1");
    for (int i = 0; i < settings_.plain_runners_; ++i)
    {
        runner::settings each;
        each.id_ = "api-" + std::to_string(i);
        each.service_ = "api";
        each.work_ = settings_.plain_work_;
        each.answer_bytes_ = settings_.plain_answer_bytes_;
        each.endless_pause_ = settings_.plain_endless_pause_;
        add_runner(each);
    }
    std::vector<std::string> seeds;
    for (int i = 0; i < settings_.daemons_; ++i)
    {
        seeds.push_back(ip_of_daemon(i));
    }
    for (int i = 0; i < settings_.daemons_; ++i)
    {
        daemons_.push_back(std::make_unique<daemon>(
            loop_, i,
            daemon::place{settings_.program_, settings_.folder_,
                          ip_of_daemon(i), "zone-" + std::to_string(i % 3),
                          store_.address(), seeds},
            record_));
    }
    thread_ = std::thread{[this]
                          {
                              loop_.run();
                          }};
}

deployment::~deployment()
{
    kill_daemons();
    loop_.stop();
    thread_.join();
}

template <class Action>
void deployment::on_loop(Action action)
{
    if (!thread_.joinable())
    {
        action();
        return;
    }
    std::promise<void> done;
    net::asio::post(loop_,
                    [&]
                    {
                        action();
                        done.set_value();
                    });
    done.get_future().wait();
}

void deployment::add_runner(runner::settings const& s)
{
    auto& list = s.streams_ ? stream_runners_ : plain_runners_;
    list.push_back(std::make_unique<runner>(loop_, s, record_));
    store_.put("servers/" + s.id_, list.back()->entry());
    record_.note("runner " + s.id_ + " registered, version " + s.version_);
}

void deployment::add_stream_runners(int count, std::string const& version)
{
    on_loop(
        [&]
        {
            for (int i = 0; i < count; ++i)
            {
                runner::settings each;
                each.id_ = "pool-" + std::to_string(stream_runners_.size());
                each.service_ = "pool";
                each.slots_ = slots;
                each.streams_ = true;
                each.version_ = version;
                each.work_ = settings_.stream_work_;
                each.events_ = settings_.events_;
                each.event_time_ = settings_.event_time_;
                each.endless_pause_ = settings_.stream_endless_pause_;
                each.zone_ = "zone-" + std::to_string(i % 3);
                add_runner(each);
            }
        });
}

void deployment::set_trouble(runner_trouble trouble, int stream_runners,
                             int plain_runners)
{
    on_loop(
        [&]
        {
            for (int i = 0; i < stream_runners; ++i)
            {
                stream_runners_.at(static_cast<std::size_t>(i))
                    ->set_trouble(trouble);
            }
            for (int i = 0; i < plain_runners; ++i)
            {
                plain_runners_.at(static_cast<std::size_t>(i))
                    ->set_trouble(trouble);
            }
        });
    record_.note("trouble begins at " + std::to_string(stream_runners) +
                 " and " + std::to_string(plain_runners) + " runners");
}

void deployment::start_daemons()
{
    on_loop(
        [this]
        {
            for (auto const& each : daemons_)
            {
                each->start();
            }
        });
}

void deployment::kill_daemons()
{
    on_loop(
        [this]
        {
            for (auto const& each : daemons_)
            {
                each->kill();
            }
        });
}

std::string const& deployment::ip_of(int client) const
{
    return daemons_.at(static_cast<std::size_t>(client) % daemons_.size())
        ->ip();
}

std::string deployment::fresh_id()
{
    return "r" + std::to_string(next_id_++);
}

bool deployment::is_serving()
{
    static std::string const body = "probe";
    for (int i = 0; i < daemon_count(); ++i)
    {
        for (auto const* const path : {"/recon/x", "/till/x"})
        {
            client probe{record_};
            client_request request;
            request.id_ = fresh_id();
            request.path_ = path;
            request.body_ = &body;
            request.deadline_ = 1s;
            if (probe.call(ip_of(i), request).status_ != 200)
            {
                return false;
            }
        }
    }
    return true;
}

int deployment::own_ends(int daemon)
{
    int out = 0;
    on_loop(
        [&]
        { out = daemons_.at(static_cast<std::size_t>(daemon))->own_ends(); });
    return out;
}

double deployment::peak_mib(int daemon)
{
    double out = 0;
    on_loop(
        [&]
        { out = daemons_.at(static_cast<std::size_t>(daemon))->peak_mib(); });
    return out;
}

} // namespace tanagerlead::review
