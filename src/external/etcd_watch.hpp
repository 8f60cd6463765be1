#pragma once

#include "src/external/etcd_store.hpp"
#include "src/net/event_loop.hpp"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace tanagerlead::external::etcd
{

/// One watched key: a thread that holds the stream and opens it anew.
class stream_watch final : public key_value_watch
{
public:
    using listener = std::function<void(key_value_entry const&)>;

    stream_watch(etcd_settings settings, std::string key, listener changed);
    ~stream_watch() override;

private:
    void loop();
    /// False when the stream never came to be.
    bool hold_stream(base::address const& endpoint);
    bool take_bytes(std::string_view bytes);
    bool take_line(std::string const& line);
    bool read_present_value();
    void tell(key_value_entry const& entry);
    void pause(base::duration time);
    bool stopping();

    etcd_settings settings_;
    std::string key_;
    listener changed_;
    etcd_store reader_;
    /// Bytes of a line not yet ended.
    std::string rest_;
    bool created_ = false;
    std::int64_t told_revision_ = -1;

    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    /// The loop that holds the stream now.
    net::asio::io_context* loop_ = nullptr;
    std::thread thread_;
};

} // namespace tanagerlead::external::etcd
