#pragma once

#include "review/standins-3/ledger.hpp"
#include "src/net/http_listener.hpp"

#include <map>

namespace tanagerlead::review
{

/// What a runner sends instead of an answer while it is in trouble.
enum class runner_trouble : std::uint8_t
{
    none,
    /// The head of an answer and then bytes without end.
    endless,
};

/// A runner of the platform. It answers plain requests whole and streams event
/// by event, and echoes the id of each request.
class runner
{
public:
    struct settings
    {
        std::string id_;
        std::string service_;
        std::string zone_;
        int slots_ = 6;
        bool streams_ = false;
        /// Of its software.
        std::string version_ = "1";
        int events_ = 10;
        base::duration event_time_ = std::chrono::milliseconds{20};
        std::size_t answer_bytes_ = 800;
        /// Time until the answer or the first event.
        base::duration work_{};
        /// Pause between two pieces of an endless answer, which hold 16 KiB.
        base::duration endless_pause_{};
    };

    /// `out` must outlive the runner.
    runner(net::asio::io_context& loop, settings s, record& out);

    /// Its entry in the registry.
    std::string entry() const;
    std::string const& id() const { return settings_.id_; }
    void set_trouble(runner_trouble trouble) { trouble_ = trouble; }

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    struct run
    {
        connection_ptr to_;
        std::string id_;
        runner_trouble trouble_ = runner_trouble::none;
        int next_event_ = 1;
        bool has_begun_ = false;
        std::unique_ptr<net::deadline_timer> due_;
    };

    void on_request(connection_ptr const& from, net::http_request const& in);
    void refuse(connection_ptr const& from, int status, std::string const& id);
    net::http_response head_for(run const& r) const;
    void advance(run& r);
    void send_event(run& r);
    void send_endless(run& r);
    void end(run& r);

    net::asio::io_context& loop_;
    settings settings_;
    record& record_;
    net::http_listener listener_;
    runner_trouble trouble_ = runner_trouble::none;
    std::map<run*, std::shared_ptr<run>> runs_;
};

} // namespace tanagerlead::review
