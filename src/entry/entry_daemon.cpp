#include "src/entry/entry_daemon.hpp"

#include <csignal>
#include <fstream>
#include <sstream>

namespace tanagerlead::entry
{

namespace
{

/// Log lines are written in batches at least this often.
constexpr base::duration log_interval = std::chrono::milliseconds{100};

} // namespace

entry_daemon::entry_daemon(settings s, std::string settings_path,
                           protocol const& speech,
                           store_factory const& make_store)
    : settings_{std::move(s)}, settings_path_{std::move(settings_path)},
      control_work_{control_loop_.get_executor()},
      traffic_work_{traffic_loop_.get_executor()}, store_{make_store(
                                                       control_loop_,
                                                       settings_.store_)},
      traffic_{traffic_loop_, settings_, speech,
               [this](std::string const& ip)
               {
                   net::asio::post(control_loop_, [this, ip]
                                   { control_.on_newer_configuration(ip); });
               }},
      control_{
          control_loop_,
          *store_,
          speech,
          settings_,
          {[this](routing::configuration_ptr const& fresh)
           {
               net::asio::post(traffic_loop_, [this, fresh]
                               { traffic_.on_configuration(fresh); });
           },
           [this](std::vector<routing::target_info> targets)
           {
               net::asio::post(traffic_loop_, [this, fresh = std::move(targets)]
                               { traffic_.on_targets(fresh); });
           },
           [this](std::vector<std::string> ips)
           {
               net::asio::post(traffic_loop_, [this, listed = std::move(ips)]
                               { traffic_.on_daemons(listed); });
           }}},
      signals_{traffic_loop_, SIGTERM, SIGINT, SIGHUP},
      log_alarm_{traffic_loop_, [this]
                 {
                     base::flush_log();
                     log_alarm_.set_after(log_interval);
                 }}
{
}

entry_daemon::~entry_daemon()
{
    if (control_thread_.joinable())
    {
        control_loop_.stop();
        control_thread_.join();
    }
}

bool entry_daemon::run()
{
    auto const traffic_started = traffic_.start();
    auto const started = traffic_started ? control_.start() : traffic_started;
    if (!started)
    {
        log_.write(
            line_kind::control,
            log_line{"Cannot start."}.with("reason", started.error().str()),
            net::now());
        base::flush_log();
        return false;
    }
    log_.write(line_kind::control,
               log_line{"Started."}
                   .with("daemon", settings_.daemon_.str())
                   .with("data_centre", settings_.data_centre_.str())
                   .with("callers", settings_.callers_.str()),
               net::now());
    control_thread_ = std::thread{[this]
                                  {
                                      control_loop_.run();
                                  }};
    wait_for_signal();
    log_alarm_.set_after(log_interval);
    traffic_loop_.run();
    control_loop_.stop();
    control_thread_.join();
    log_.write(line_kind::control, log_line{"Stopped."}, net::now());
    base::flush_log();
    return true;
}

void entry_daemon::wait_for_signal()
{
    signals_.async_wait(
        [this](net::error_code const& error, int number)
        {
            if (!error)
            {
                on_signal(number);
                wait_for_signal();
            }
        });
}

void entry_daemon::on_signal(int number)
{
    if (number == SIGHUP)
    {
        reload();
        return;
    }
    if (leaving_)
    {
        return;
    }
    leaving_ = true;
    traffic_.leave(
        [this]
        {
            net::asio::post(control_loop_,
                            [this]
                            {
                                control_.leave(
                                    [this] {
                                        net::asio::post(
                                            traffic_loop_,
                                            [this] { traffic_loop_.stop(); });
                                    });
                            });
        });
}

// Addresses cannot change while they are in use; a change of them takes a
// restart. The reading shows an operator whether the file is right.
void entry_daemon::reload()
{
    std::ifstream file{settings_path_};
    std::stringstream text;
    text << file.rdbuf();
    auto const fresh = read_settings(text.str());
    log_line line{"Settings read again."};
    line.with("result", fresh ? "right" : fresh.error().str());
    log_.write(line_kind::control, line, net::now());
}

} // namespace tanagerlead::entry
