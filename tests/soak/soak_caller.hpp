#pragma once

#include "src/base/random.hpp"
#include "src/net/http_client.hpp"
#include "tests/soak/ledger.hpp"

namespace tanagerlead::soak
{

/// What callers know of the fleet.
class soak_fleet
{
public:
    virtual ~soak_fleet() = default;
    /// Where the daemons answer where to connect.
    virtual std::vector<base::address> directories() const = 0;
    /// Whether the daemon at this address has run without a pause since then.
    virtual bool ran_since(base::address const& callers,
                           base::time_point when) const = 0;
    /// ID of a part of prompts that crashes targets; empty if there is none.
    virtual std::string crashing_part() const = 0;
};

/// One caller: asks where to connect, sends one request after the other on a
/// connection for as long as it lasts, and checks what it gets.
class soak_caller final : public net::answer_sink
{
public:
    /// All outlive it.
    soak_caller(net::asio::io_context& loop, soak_fleet const& fleet,
                ledger& recorder, int number, std::uint64_t seed);
    ~soak_caller() override;
    soak_caller(soak_caller const&) = delete;
    soak_caller& operator=(soak_caller const&) = delete;

    void start() { next_.set_after({}); }
    /// After the present request.
    void stop() { stopping_ = true; }
    bool is_idle() const { return id_.empty(); }

private:
    net::head_action on_head(net::http_response const& head) override;
    void on_body(std::string_view bytes) override;
    void on_complete(net::answer_end end) override;
    void on_broken(std::string const& detail) override;

    void begin();
    void ask(int tries_left);
    void on_answer_where(base::result<net::http_response> const& answer,
                         int tries_left);
    void connect();
    void send();
    std::string make_prompt_parts();
    void check_whole();
    void check_refusal();
    void check_events();
    void finish(int status);
    void on_late();
    static int count_events(std::string const& stream);
    base::duration pause();

    net::asio::io_context& loop_;
    soak_fleet const& fleet_;
    ledger& ledger_;
    int number_;
    base::random_source random_;
    net::http_client client_;
    net::deadline_timer next_;
    net::deadline_timer late_;
    std::vector<base::address> addresses_;
    base::time_point keep_until_{};
    std::shared_ptr<net::channel> channel_;
    request_kind kind_ = request_kind::idempotent;
    /// Of the request under way.
    std::string id_;
    /// The attempt that brought the first event of the stream.
    std::string first_id_;
    /// The request takes a stream up after this event; 0: it does not.
    int last_event_ = 0;
    int count_ = 0;
    /// The request has the part that crashes targets.
    bool is_crashing_ = false;
    base::time_point sent_at_{};
    net::http_response answer_;
    bool stopping_ = false;
};

} // namespace tanagerlead::soak
