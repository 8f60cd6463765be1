#include "src/external/etcd_watch.hpp"

#include "src/external/etcd_codec.hpp"

#include <httplib.h>

namespace tanagerlead::external::etcd
{

namespace
{
constexpr auto stop_interval = std::chrono::milliseconds{20};
}

stream_watch::stream_watch(etcd_settings settings, std::string key,
                           listener changed)
    : settings_{std::move(settings)}, key_{std::move(key)},
      changed_{std::move(changed)}, reader_{settings_}
{
    thread_ = std::thread{[this]
                          {
                              loop();
                          }};
}

stream_watch::~stream_watch()
{
    std::unique_lock lock{mutex_};
    stopping_ = true;
    wake_.notify_all();
    // A stop that comes before the client has connected is lost, so repeat.
    while (!finished_)
    {
        if (client_ != nullptr)
        {
            client_->stop();
        }
        wake_.wait_for(lock, stop_interval);
    }
    lock.unlock();
    thread_.join();
}

bool stream_watch::stopping()
{
    std::lock_guard const lock{mutex_};
    return stopping_;
}

void stream_watch::pause(base::duration time)
{
    std::unique_lock lock{mutex_};
    wake_.wait_for(lock, time, [this] { return stopping_; });
}

void stream_watch::loop()
{
    auto backoff = settings_.first_backoff_;
    std::size_t next = 0;
    while (!stopping())
    {
        auto const& endpoint = settings_.endpoints_[next];
        if (hold_stream(endpoint))
        {
            backoff = settings_.first_backoff_;
        }
        else
        {
            next = (next + 1) % settings_.endpoints_.size();
            backoff = std::min(backoff * 2, settings_.longest_backoff_);
        }
        pause(backoff);
    }
    std::lock_guard const lock{mutex_};
    finished_ = true;
    wake_.notify_all();
}

bool stream_watch::hold_stream(base::address const& endpoint)
{
    httplib::Client client{endpoint.ip_, endpoint.port_};
    client.set_connection_timeout(settings_.timeouts_.connect_);
    client.set_read_timeout(settings_.watch_silence_);
    client.set_tcp_nodelay(true);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.body = encode_watch(key_);
    request.set_header("Content-Type", "application/json");
    request.content_receiver = [this](char const* bytes, std::size_t count,
                                      std::uint64_t /*offset*/,
                                      std::uint64_t /*length*/)
    {
        return take_bytes({bytes, count});
    };
    rest_.clear();
    created_ = false;
    {
        std::lock_guard const lock{mutex_};
        if (stopping_)
        {
            return false;
        }
        client_ = &client;
    }
    static_cast<void>(client.send(request));
    std::lock_guard const lock{mutex_};
    client_ = nullptr;
    return created_;
}

bool stream_watch::take_bytes(std::string_view bytes)
{
    rest_ += bytes;
    for (auto end = rest_.find('\n'); end != std::string::npos;
         end = rest_.find('\n'))
    {
        auto const line = rest_.substr(0, end);
        rest_.erase(0, end + 1);
        if (!take_line(line))
        {
            return false;
        }
    }
    return !stopping();
}

bool stream_watch::take_line(std::string const& line)
{
    auto const decoded = decode_watch_line(line);
    if (!decoded || decoded.value().cancelled_)
    {
        return false;
    }
    if (decoded.value().created_ && !created_)
    {
        created_ = true;
        // Changes from before the watch was in place are read, not told.
        if (!read_present_value())
        {
            return false;
        }
    }
    for (auto const& entry : decoded.value().entries_)
    {
        tell(entry);
    }
    return true;
}

bool stream_watch::read_present_value()
{
    auto const present = reader_.get(key_);
    if (!present)
    {
        return false;
    }
    changed_(present.value());
    told_revision_ = present.value().revision_;
    return true;
}

void stream_watch::tell(key_value_entry const& entry)
{
    // The stream may repeat what the read has already shown.
    if (entry.revision_ != 0 && entry.revision_ <= told_revision_)
    {
        return;
    }
    changed_(entry);
    told_revision_ = std::max(told_revision_, entry.revision_);
}

} // namespace tanagerlead::external::etcd
