#pragma once

#include "src/http/runnable.hpp"
#include "src/http/target_connection.hpp"

#include <optional>
#include <string>

namespace tanagerlead::http
{

/// Has another daemon answer a request that only that one may run, and passes
/// its answer on. On the loop.
class peer_run final : public active_run, private target_listener
{
public:
    peer_run(target_connection& connection, target_limits const& limits,
             base::clock const& clock, runnable const& work,
             base::address peer);

    void start(ended done) override;
    void stop() override;
    /// Does nothing: what runs at most once is not cancelled half way.
    void stop_if_abandoned() override {}

private:
    bool on_connected() override { return true; }
    bool on_head(target_head const& head) override;
    bool on_bytes(std::string_view bytes) override;
    void on_end(exchange_end end) override;

    target_call make_call() const;
    bool take_event(request::sse_event event);
    void begin_answer(bool stream);
    void end_by_peer();
    void end_unknown(char const* detail);

    target_connection& connection_;
    target_limits const& limits_;
    base::clock const& clock_;
    runnable const& work_;
    base::address const peer_;
    request::request_record& record_;

    std::optional<target_head> head_;
    bool is_stream_ = false;
    request::sse_parser parser_;
    std::string body_;
    std::uint64_t events_ = 0;
    /// As the peer says at the end of a stream, or in a header.
    std::string outcome_;
    ended done_;
    std::unique_ptr<target_exchange> exchange_;
};

} // namespace tanagerlead::http
