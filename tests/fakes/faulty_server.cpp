#include "tests/fakes/faulty_server.hpp"

#include <boost/outcome/try.hpp>
#include <httplib.h>

namespace tanagerlead::fakes
{

namespace
{

constexpr int control_threads = 8;

bool is_fake_path(std::string const& path)
{
    return path.rfind("/fake/", 0) == 0;
}

} // namespace

std::string remote_end(httplib::Request const& request)
{
    return request.remote_addr + ':' + std::to_string(request.remote_port);
}

faulty_server::faulty_server(blocking_server_settings settings,
                             handler_set handlers)
    : settings_{std::move(settings)}, handlers_{std::move(handlers)}
{
}

faulty_server::~faulty_server()
{
    stop();
}

base::result<void> faulty_server::start()
{
    BOOST_OUTCOME_TRYV(listen());
    control_ = std::make_unique<blocking_server>(
        blocking_server_settings{{settings_.listen_.ip_, 0}, control_threads});
    add_fake_routes(control_->routes());
    return control_->start();
}

void faulty_server::stop()
{
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    if (control_)
    {
        control_->stop();
    }
    if (closer_.joinable())
    {
        closer_.join();
    }
    if (traffic_)
    {
        traffic_->stop();
    }
}

base::address faulty_server::control_address() const
{
    return control_->local_address();
}

fault_switches faulty_server::faults() const
{
    std::lock_guard const lock{mutex_};
    return faults_;
}

bool faulty_server::silenced(std::string const& remote_end) const
{
    std::lock_guard const lock{mutex_};
    return !silenced_.empty() && silenced_.count(remote_end) > 0;
}

void faulty_server::wait_while_silenced(std::string const& remote_end) const
{
    std::unique_lock lock{mutex_};
    changed_.wait(lock, [&]
                  { return stopping_ || silenced_.count(remote_end) == 0; });
}

base::result<void> faulty_server::listen()
{
    traffic_ = std::make_unique<blocking_server>(settings_);
    auto& routes = traffic_->routes();
    routes.set_pre_routing_handler(
        [this](httplib::Request const& request, httplib::Response& response)
        {
            using result = httplib::Server::HandlerResponse;
            auto const end = remote_end(request);
            note_connection(end);
            wait_while_silenced(end);
            auto const status = faults().error_status_;
            if (status == 0 || is_fake_path(request.path))
            {
                return result::Unhandled;
            }
            response.status = status;
            response.set_content(R"({"error":{"message":"told to fail"}})",
                                 "application/json");
            return result::Handled;
        });
    add_fake_routes(routes);
    handlers_.routes_(routes);
    BOOST_OUTCOME_TRYV(traffic_->start());
    // A later listen takes the same port again.
    settings_.listen_ = traffic_->local_address();
    return base::success();
}

void faulty_server::add_fake_routes(httplib::Server& server)
{
    server.Post("/fake/faults", [this](httplib::Request const& request,
                                       httplib::Response& response)
                { change(request, response); });
    server.Get(
        "/fake/log",
        [this](httplib::Request const& request, httplib::Response& response)
        {
            auto const totals_only = request.has_param("totals");
            response.set_content(handlers_.log_(totals_only),
                                 "application/json");
        });
}

void faulty_server::change(httplib::Request const& request,
                           httplib::Response& response)
{
    std::lock_guard const one_at_a_time{change_mutex_};
    auto const wanted = read_faults(request.body, faults());
    if (!wanted)
    {
        response.status = 400;
        response.set_content(wanted.error().str(), "text/plain");
        return;
    }
    apply(wanted.value());
    response.set_content("{}", "application/json");
}

void faulty_server::apply(fault_switches const& faults)
{
    auto const before = this->faults();
    {
        std::lock_guard const lock{mutex_};
        if (faults.silent_ && !before.silent_)
        {
            silenced_.merge(known_);
            known_.clear();
        }
        if (!faults.silent_)
        {
            silenced_.clear();
        }
        faults_ = faults;
    }
    if (faults.refuse_connections_ != before.refuse_connections_)
    {
        refuse(faults.refuse_connections_);
    }
    handlers_.faults_changed_(faults);
    changed_.notify_all();
}

void faulty_server::refuse(bool on)
{
    if (closer_.joinable())
    {
        closer_.join();
    }
    if (on)
    {
        closer_ = std::thread{[this]
                              {
                                  traffic_->stop();
                              }};
        return;
    }
    if (auto const listening = listen(); !listening)
    {
        std::fprintf(stderr, "fake: %s\n", listening.error().str().c_str());
    }
}

void faulty_server::note_connection(std::string const& remote_end)
{
    std::lock_guard const lock{mutex_};
    if (silenced_.count(remote_end) == 0)
    {
        known_.insert(remote_end);
    }
}

} // namespace tanagerlead::fakes
