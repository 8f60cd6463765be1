#pragma once

#include "src/config/digest.hpp"
#include "src/external/etcd_store.hpp"
#include "src/http/config_api.hpp"
#include "src/http/drain_api.hpp"
#include "src/http/server.hpp"
#include "src/http/status_api.hpp"
#include "src/kernel/kernel.hpp"
#include "tests/fakes/fake_key_value.hpp"

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlead::fakes
{

/// The configuration part of one daemon with its operators' calls, on a fake
/// key-value service.
class config_daemon
{
public:
    static constexpr char const* operator_key = "open sesame";

    /// True when all of it has started.
    bool start()
    {
        if (!fake_.start())
        {
            return false;
        }
        external::etcd_settings settings;
        settings.endpoints_ = {fake_.local_address()};
        settings.timeouts_.read_ = std::chrono::milliseconds{300};
        store_ = std::make_unique<external::etcd_store>(settings);
        constexpr std::uint64_t seed = 1;
        auto service = std::make_unique<config::config_service>(
            base::daemon_id{"d1"}, *store_, seed);
        service_ = service.get();
        services_.add(kernel::control_thread::service_name,
                      std::make_unique<kernel::control_thread>(clock_));
        services_.add(config::config_service::service_name, std::move(service));
        if (!services_.start())
        {
            return false;
        }
        service_->subscribe(
            [this](config::snapshot const& now)
            {
                if (now->version_ == base::config_version{1})
                {
                    first_version_.set_value();
                }
            });
        return serve(config::sha256_hex(operator_key));
    }

    void stop()
    {
        server_.reset();
        services_.stop();
        fake_.stop();
    }

    /// Serves anew, with another key.
    bool serve(std::string key_hash)
    {
        server_.reset();
        http::operator_guard const guard{std::move(key_hash)};
        api_ = std::make_unique<http::config_api>(*service_, guard,
                                                  [this] { return members_; });
        drain_ = std::make_unique<http::drain_api>(*service_, guard);
        status_ = std::make_unique<http::status_api>(views_, guard);
        server_ = std::make_unique<http::server>(
            http::server_settings{{"127.0.0.1", 0}});
        api_->add_routes(server_->routes());
        drain_->add_routes(server_->routes());
        status_->add_routes(server_->routes());
        return server_->start().has_value();
    }

    void wait_for_first_version() { first_version_.get_future().wait(); }

    base::address address() const { return server_->local_address(); }
    fake_key_value& key_value() { return fake_; }

    /// Told by `config/in-force`; set before any call.
    std::vector<http::daemon_version> members_;
    /// Told by `status`, `targets` and `explain`; set before `start`.
    http::status_readers views_;

private:
    base::steady_clock clock_;
    fake_key_value fake_{{"127.0.0.1", 0}, clock_};
    std::unique_ptr<external::etcd_store> store_;
    kernel::kernel services_;
    config::config_service* service_ = nullptr;
    std::unique_ptr<http::config_api> api_;
    std::unique_ptr<http::drain_api> drain_;
    std::unique_ptr<http::status_api> status_;
    std::unique_ptr<http::server> server_;
    std::promise<void> first_version_;
};

} // namespace tanagerlead::fakes
