#pragma once

#include "src/base/units.hpp"
#include "tests/fakes/faulty_server.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace tanagerlead::fakes
{

struct service_settings
{
    std::string name_ = "service";
    blocking_server_settings http_;
    /// Time that one call takes.
    base::duration delay_{};
    /// Calls that run at one time; more wait.
    int slots_ = 16;
    /// Runs, on any thread, when a body with the crash marker is processed.
    std::function<void()> crash_;
};

/// A plain service: echoes each call and counts its runs.
class service_server
{
public:
    explicit service_server(service_settings settings);
    ~service_server();

    base::result<void> start();
    void stop();

    base::address address() const { return http_.address(); }
    base::address control_address() const { return http_.control_address(); }

private:
    void add_routes(httplib::Server& server);
    void run(httplib::Request const& request, httplib::Response& response);
    void wake_calls();
    /// False when the service stops first.
    bool work();
    std::string log_json(bool totals_only) const;

    service_settings settings_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    int running_ = 0;
    std::int64_t runs_ = 0;
    std::map<std::string, int> runs_by_request_;
    std::map<std::string, int> runs_by_key_;
    bool stopping_ = false;
    faulty_server http_;
};

} // namespace tanagerlead::fakes
