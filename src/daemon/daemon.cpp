#include <tanagerlead/daemon.hpp>

#include "src/base/log.hpp"
#include "src/base/random.hpp"
#include "src/cell/scheduling_service.hpp"
#include "src/config/config_service.hpp"
#include "src/config/settings_file.hpp"
#include "src/daemon/http_service.hpp"
#include "src/daemon/operator_views.hpp"
#include "src/daemon/peer_copies.hpp"
#include "src/external/etcd_store.hpp"
#include "src/external/http_host_list.hpp"
#include "src/http/config_api.hpp"
#include "src/http/drain_api.hpp"
#include "src/http/target_probe.hpp"
#include "src/kernel/kernel.hpp"
#include "src/request/kv_claim_store.hpp"
#include "src/sched/cell_scheduler.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace tanagerlead
{

namespace
{

base::log const& logger()
{
    static base::log const instance{"daemon"};
    return instance;
}

/// UDP and TCP sockets with one port number.
struct peer_sockets
{
    peer::socket tcp_;
    peer::socket udp_;
};

base::result<peer_sockets> bind_peer_sockets(base::address const& wanted)
{
    // A port that the kernel picks for TCP may be taken for UDP.
    constexpr int tries = 16;
    for (int i = 0; i < tries; ++i)
    {
        auto tcp = peer::bind_socket(SOCK_STREAM, wanted);
        if (!tcp)
        {
            return tcp.error();
        }
        auto udp =
            peer::bind_socket(SOCK_DGRAM, peer::local_address(tcp.value()));
        if (udp)
        {
            return peer_sockets{std::move(tcp).value(), std::move(udp).value()};
        }
        if (wanted.port_ != 0)
        {
            return udp.error();
        }
    }
    return base::fail(base::error_code::unavailable, "bind peer sockets",
                      wanted.str(), "no port free for both UDP and TCP");
}

std::chrono::milliseconds milliseconds_since_epoch()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

base::incarnation first_incarnation()
{
    // Later lives of a daemon must have larger numbers, and nothing is kept.
    auto const ms = milliseconds_since_epoch().count();
    return base::incarnation{static_cast<std::uint64_t>(ms)};
}

/// Callers' calls served at one time, so that connections are left for
/// refusals and for operators.
int open_calls_of(int connections)
{
    constexpr int reserved_share = 16;
    constexpr int least_reserved = 2;
    auto const reserved =
        std::max(connections / reserved_share, least_reserved);
    return std::max(connections - reserved, 1);
}

} // namespace

class daemon::impl
{
public:
    explicit impl(config::settings settings);

    base::result<void> start();
    bool drain(base::duration longest);
    void stop();

    base::address const& http_address() const { return self_.http_address_; }
    base::address const& peer_address() const { return self_.peer_address_; }

private:
    base::result<void> bind();
    void add_control_services();
    void add_scheduling();
    void add_http();
    cell::scheduling_settings scheduling();
    void make_operator_apis();

    config::settings settings_;
    membership::member self_;
    base::steady_clock clock_;
    external::etcd_store store_;
    request::kv_claim_store claims_;
    std::unique_ptr<http::server> server_;
    peer_sockets sockets_;
    std::unique_ptr<external::host_list> host_list_;
    std::unique_ptr<http::config_api> config_api_;
    std::unique_ptr<http::drain_api> drain_api_;
    std::unique_ptr<http::status_api> status_api_;
    std::unique_ptr<daemon_parts::operator_views> views_;
    kernel::kernel services_;
};

daemon::impl::impl(config::settings settings)
    : settings_{std::move(settings)}, store_{external::etcd_settings{
                                          settings_.key_value_, {}}},
      claims_{store_, clock_, milliseconds_since_epoch}
{
    self_.daemon_ = settings_.daemon_;
    self_.host_ = settings_.host_;
    self_.data_centre_ = settings_.data_centre_;
    self_.incarnation_ = first_incarnation();
    self_.origin_ = base::entropy();
    if (!settings_.host_list_.empty())
    {
        host_list_ = std::make_unique<external::http_host_list>(
            settings_.host_list_, external::http_timeouts{});
    }
}

base::result<void> daemon::impl::bind()
{
    http::server_settings http;
    http.listen_ = settings_.http_;
    http.most_connections_ =
        static_cast<std::size_t>(settings_.caller_threads_);
    server_ = std::make_unique<http::server>(http);
    auto taken = server_->bind();
    if (!taken)
    {
        return taken;
    }
    auto sockets = bind_peer_sockets(settings_.peer_);
    if (!sockets)
    {
        return sockets.error();
    }
    sockets_ = std::move(sockets).value();
    self_.http_address_ = server_->local_address();
    self_.peer_address_ = peer::local_address(sockets_.udp_);
    return base::success();
}

base::result<void> daemon::impl::start()
{
    auto bound = bind();
    if (!bound)
    {
        return bound;
    }
    add_control_services();
    add_scheduling();
    add_http();
    auto started = services_.start();
    if (started)
    {
        logger().info("Daemon " + self_.daemon_.str() + " serves callers at " +
                      http_address().str() + " and peers at " +
                      peer_address().str() + ".");
    }
    return started;
}

void daemon::impl::add_control_services()
{
    services_.add(kernel::control_thread::service_name,
                  std::make_unique<kernel::control_thread>(clock_));
    services_.add(peer::membership_service::service_name,
                  std::make_unique<peer::membership_service>(
                      self_, membership::swim_settings{},
                      std::move(sockets_.udp_), settings_.peer_secret_,
                      settings_.seeds_));
    auto configuration = std::make_unique<config::config_service>(
        self_.daemon_, store_, self_.origin_);
    auto copies = std::make_unique<daemon_parts::peer_copies>(
        std::move(sockets_.tcp_), settings_.peer_secret_, self_);
    configuration->set_peer_fetch(
        [&from = *copies](base::address const& peer, std::string const& request)
        { return from.fetch(peer, request); });
    services_.add(config::config_service::service_name,
                  std::move(configuration));
    services_.add(daemon_parts::peer_copies::service_name, std::move(copies));
}

cell::scheduling_settings daemon::impl::scheduling()
{
    cell::scheduling_settings chosen;
    chosen.make_scheduler_ = [policy = settings_.policy_]
    {
        return sched::make_scheduler(policy);
    };
    chosen.read_load_ = [](config::target_config const& target)
    {
        return http::read_load(target);
    };
    if (host_list_)
    {
        chosen.read_hosts_ = [this]
        {
            return host_list_->read();
        };
    }
    auto& configuration = services_.find<config::config_service>(
        config::config_service::service_name);
    chosen.store_reachable_ = [&configuration]
    {
        return configuration.may_take_work();
    };
    return chosen;
}

void daemon::impl::add_scheduling()
{
    auto& control = services_.find<kernel::control_thread>(
        kernel::control_thread::service_name);
    auto& configuration = services_.find<config::config_service>(
        config::config_service::service_name);
    auto& members = services_.find<peer::membership_service>(
        peer::membership_service::service_name);
    services_.add(cell::scheduling_service::service_name,
                  std::make_unique<cell::scheduling_service>(
                      scheduling(), control, configuration, members, members));
}

void daemon::impl::add_http()
{
    http::caller_api_settings callers;
    callers.daemon_ = self_.daemon_;
    callers.origin_ = self_.origin_;
    callers.seed_ = base::entropy();
    callers.most_open_calls_ = open_calls_of(settings_.caller_threads_);
    make_operator_apis();
    std::vector<daemon_parts::http_service::add_routes> operator_apis;
    operator_apis.push_back(
        [this](http::router& to)
        {
            config_api_->add_routes(to);
            drain_api_->add_routes(to);
            status_api_->add_routes(to);
        });
    services_.add(daemon_parts::http_service::service_name,
                  std::make_unique<daemon_parts::http_service>(
                      std::move(server_), callers, claims_, clock_,
                      std::move(operator_apis)));
}

void daemon::impl::make_operator_apis()
{
    auto& configuration = services_.find<config::config_service>(
        config::config_service::service_name);
    http::operator_guard const guard{settings_.operator_key_hash_};
    views_ = std::make_unique<daemon_parts::operator_views>(services_);
    config_api_ = std::make_unique<http::config_api>(
        configuration, guard, [this] { return views_->versions(); });
    drain_api_ = std::make_unique<http::drain_api>(configuration, guard);
    status_api_ = std::make_unique<http::status_api>(views_->readers(), guard);
}

bool daemon::impl::drain(base::duration longest)
{
    logger().info("Planned stop begins.");
    services_
        .find<cell::scheduling_service>(cell::scheduling_service::service_name)
        .leave();
    services_
        .find<peer::membership_service>(peer::membership_service::service_name)
        .leave();
    auto& callers = services_
                        .find<daemon_parts::http_service>(
                            daemon_parts::http_service::service_name)
                        .callers();
    callers.begin_drain();
    auto const idle = callers.wait_until_idle(longest);
    logger().info(idle ? "Nothing is left in flight."
                       : "Requests are still in flight.");
    return idle;
}

void daemon::impl::stop()
{
    services_.stop();
}

std::unique_ptr<daemon> daemon::create(std::string const& settings_text,
                                       std::vector<std::string>& problems)
{
    auto checked = config::parse_settings(settings_text);
    for (auto const& wrong : checked.errors_)
    {
        problems.push_back(wrong.str());
    }
    if (!checked.ok())
    {
        return nullptr;
    }
    base::start_logging(checked.settings_.log_);
    return std::unique_ptr<daemon>{
        new daemon{std::make_unique<impl>(std::move(checked.settings_))}};
}

daemon::daemon(std::unique_ptr<impl> parts) : impl_{std::move(parts)}
{
}

daemon::~daemon() = default;

bool daemon::start(std::string& problem)
{
    auto const started = impl_->start();
    if (!started)
    {
        problem = started.error().str();
    }
    return started.has_value();
}

std::string daemon::http_address() const
{
    return impl_->http_address().str();
}

std::string daemon::peer_address() const
{
    return impl_->peer_address().str();
}

bool daemon::drain(std::chrono::milliseconds longest)
{
    return impl_->drain(longest);
}

void daemon::stop()
{
    impl_->stop();
}

} // namespace tanagerlead
