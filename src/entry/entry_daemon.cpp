#include "src/entry/entry_daemon.hpp"

#include <csignal>
#include <fstream>
#include <sstream>

namespace tanagerlead::entry
{

namespace
{

/// Interval at which buffered log lines are flushed.
constexpr base::duration log_flush_interval = std::chrono::milliseconds{100};

} // namespace

entry_daemon::entry_daemon(settings s, std::string settings_path,
                           protocol const& wire,
                           store_factory const& make_store)
    : settings_{std::move(s)}, settings_path_{std::move(settings_path)},
      control_work_{control_loop_.get_executor()},
      data_plane_work_{data_plane_loop_.get_executor()}, store_{make_store(
                                                             control_loop_,
                                                             settings_.store_)},
      data_plane_{data_plane_loop_, settings_, wire,
                  [this](std::string const& ip)
                  {
                      net::asio::post(
                          control_loop_, [this, ip]
                          { control_plane_.on_newer_configuration(ip); });
                  }},
      control_plane_{
          control_loop_,
          *store_,
          wire,
          settings_,
          {[this](routing::configuration_ptr const& fresh)
           {
               net::asio::post(data_plane_loop_, [this, fresh]
                               { data_plane_.on_configuration(fresh); });
           },
           [this](std::vector<routing::target_info> targets)
           {
               net::asio::post(data_plane_loop_,
                               [this, fresh = std::move(targets)]
                               { data_plane_.on_targets(fresh); });
           },
           [this](std::vector<std::string> ips)
           {
               net::asio::post(data_plane_loop_, [this, listed = std::move(ips)]
                               { data_plane_.on_daemons(listed); });
           },
           [this]
           {
               net::asio::post(data_plane_loop_,
                               [this] { data_plane_.on_store_restored(); });
           },
           [this](routing::registry_change change)
           {
               net::asio::post(data_plane_loop_, [this, change]
                               { data_plane_.on_registry_change(change); });
           },
           [this](bool is_current)
           {
               net::asio::post(
                   data_plane_loop_, [this, is_current, at = net::now()]
                   { data_plane_.on_registry_state(is_current, at); });
           },
           [this](base::time_point at)
           {
               net::asio::post(data_plane_loop_, [this, at]
                               { data_plane_.on_registry_confirmed(at); });
           },
           [this](base::target_id const& target,
                  std::optional<routing::target_info> const& entry,
                  base::time_point asked)
           {
               net::asio::post(
                   data_plane_loop_, [this, target, entry, asked]
                   { data_plane_.on_entry_read(target, entry, asked); });
           },
           [this](routing::stream_message message)
           {
               net::asio::post(data_plane_loop_,
                               [this, found = std::move(message)]
                               { data_plane_.on_archived_origins(found); });
           },
           {[this](routing::stream_starts::revision written)
            {
                net::asio::post(data_plane_loop_, [this, written]
                                { data_plane_.on_starts_kept(written); });
            },
            [this](kept_stream_starts found)
            {
                net::asio::post(data_plane_loop_,
                                [this, read = std::move(found)]
                                { data_plane_.on_starts_read(read); });
            },
            [this](base::time_point asked)
            {
                net::asio::post(data_plane_loop_, [this, asked]
                                { data_plane_.on_starts_unusable(asked); });
            }}}},
      signals_{data_plane_loop_, SIGTERM, SIGINT, SIGHUP},
      log_flush_timer_{data_plane_loop_, [this]
                       {
                           base::flush_log();
                           log_flush_timer_.set_after(log_flush_interval);
                       }}
{
    data_plane_.set_store_news_callbacks(
        {[this](routing::registry_change change)
         {
             net::asio::post(control_loop_, [this, change]
                             { control_plane_.on_registry_change(change); });
         },
         [this](routing::follower_position position)
         {
             net::asio::post(control_loop_, [this, position]
                             { control_plane_.on_position(position); });
         }});
    data_plane_.set_entry_reader(
        [this](base::target_id const& target)
        {
            net::asio::post(control_loop_, [this, target]
                            { control_plane_.read_entry(target); });
        });
    data_plane_.set_origin_archive(
        {[this](routing::origin_archive::batch const& batch) {
             net::asio::post(control_loop_,
                             [this, batch] { write_origins(batch); });
         },
         [this] {
             net::asio::post(control_loop_,
                             [this] { control_plane_.read_origins(); });
         },
         [this](routing::stream_starts::update update)
         {
             net::asio::post(control_loop_,
                             [this, starts = std::move(update)]() mutable {
                                 control_plane_.write_starts(std::move(starts));
                             });
         },
         [this]
         {
             net::asio::post(control_loop_,
                             [this] { control_plane_.read_starts(); });
         }});
}

void entry_daemon::write_origins(routing::origin_archive::batch const& batch)
{
    control_plane_.write_origins(
        batch,
        [this, number = batch.number_](base::result<void> const& written)
        {
            net::asio::post(data_plane_loop_,
                            [this, number, is_kept = written.has_value()] {
                                data_plane_.on_origins_written(number, is_kept);
                            });
        });
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
    auto const data_plane_started = data_plane_.start();
    auto const started =
        data_plane_started ? control_plane_.start() : data_plane_started;
    if (!started)
    {
        log_.write(log_category::control_plane,
                   log_line{"Cannot start the daemon."}.with(
                       "reason", started.error().str()),
                   net::now());
        base::flush_log();
        return false;
    }
    log_.write(log_category::control_plane,
               log_line{"Daemon started."}
                   .with("daemon", settings_.daemon_.str())
                   .with("data_centre", settings_.data_centre_.str())
                   .with("callers", settings_.callers_.str()),
               net::now());
    control_thread_ = std::thread{[this]
                                  {
                                      control_loop_.run();
                                  }};
    wait_for_signal();
    log_flush_timer_.set_after(log_flush_interval);
    data_plane_loop_.run();
    control_loop_.stop();
    control_thread_.join();
    log_.write(log_category::control_plane, log_line{"Daemon stopped."},
               net::now());
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
    if (is_shutting_down_)
    {
        return;
    }
    is_shutting_down_ = true;
    data_plane_.shut_down(
        [this]
        {
            net::asio::post(control_loop_,
                            [this]
                            {
                                control_plane_.shut_down(
                                    [this] {
                                        net::asio::post(
                                            data_plane_loop_, [this]
                                            { data_plane_loop_.stop(); });
                                    });
                            });
        });
}

// Changed settings take effect only after a restart, since addresses cannot
// change while they are in use. Reading the file again tells the operator
// whether it is valid.
void entry_daemon::reload()
{
    std::ifstream file{settings_path_};
    std::stringstream text;
    text << file.rdbuf();
    auto const fresh = read_settings(text.str());
    log_line line{"Settings file checked."};
    line.with("result", fresh ? "right" : fresh.error().str());
    log_.write(log_category::control_plane, line, net::now());
}

} // namespace tanagerlead::entry
