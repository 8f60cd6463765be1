#include "src/external/etcd_watch.hpp"

#include "src/external/etcd_codec.hpp"
#include "src/net/channel.hpp"

namespace tanagerlead::external::etcd
{

namespace
{

constexpr int status_ok = 200;

/// One watch stream on a loop of its own; `run` returns when it has ended.
class stream final : public net::answer_sink
{
public:
    /// False ends the stream.
    using receiver = std::function<bool(std::string_view)>;

    stream(net::asio::io_context& loop, base::address const& from,
           base::duration silence, receiver take)
        : loop_{loop}, channel_{std::make_shared<net::channel>(loop, from)},
          longest_silence_{silence}, take_{std::move(take)}, silence_{loop_,
                                                                      [this]
                                                                      {
                                                                          end();
                                                                      }}
    {
    }

    ~stream() override { channel_->close(); }
    stream(stream const&) = delete;
    stream& operator=(stream const&) = delete;

    void run(net::http_request const& request, base::duration connect_timeout)
    {
        channel_->connect(connect_timeout,
                          [this, &request](net::error_code const& error)
                          {
                              if (error)
                              {
                                  end();
                                  return;
                              }
                              silence_.set_after(longest_silence_);
                              channel_->exchange(request, *this);
                          });
        loop_.run();
    }

private:
    net::head_action on_head(net::http_response const& head) override
    {
        return head.status_ == status_ok ? net::head_action::accept
                                         : net::head_action::refuse;
    }

    void on_body(std::string_view bytes) override
    {
        silence_.set_after(longest_silence_);
        if (!take_(bytes))
        {
            end();
        }
    }

    void on_complete(net::answer_end /*end*/) override { end(); }
    void on_broken(std::string const& /*detail*/) override { end(); }

    void end()
    {
        channel_->close();
        loop_.stop();
    }

    net::asio::io_context& loop_;
    std::shared_ptr<net::channel> channel_;
    base::duration longest_silence_;
    receiver take_;
    net::deadline_timer silence_;
};

} // namespace

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
    if (loop_ != nullptr)
    {
        loop_->stop();
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
}

bool stream_watch::hold_stream(base::address const& endpoint)
{
    net::http_request request{"POST", "/v3/watch", {}, encode_watch(key_)};
    request.headers_.set("Host", endpoint.str());
    request.headers_.set("Content-Type", "application/json");
    rest_.clear();
    created_ = false;
    net::asio::io_context loop{1};
    {
        std::lock_guard const lock{mutex_};
        if (stopping_)
        {
            return false;
        }
        loop_ = &loop;
    }
    stream held{loop, endpoint, settings_.watch_silence_,
                [this](std::string_view bytes)
                {
                    return take_bytes(bytes);
                }};
    held.run(request, settings_.timeouts_.connect_);
    std::lock_guard const lock{mutex_};
    loop_ = nullptr;
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
