#include "src/http/server.hpp"

#include "src/base/log.hpp"
#include "src/http/worker_pool.hpp"
#include "src/net/http_listener.hpp"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <future>
#include <thread>

namespace tanagerlead::http
{

namespace
{

namespace asio = boost::asio;

/// Operators' calls at one time; further ones wait.
constexpr std::size_t worker_threads = 4;
/// Between looks at whether the last answers have left.
constexpr base::duration stop_poll = std::chrono::milliseconds{2};

constexpr int internal_error = 500;

struct error_row
{
    int status_;
    char const* code_;
    char const* message_;
};

base::log const& logger()
{
    static base::log const instance{"http"};
    return instance;
}

constexpr std::array error_rows{
    error_row{404, "unknown_path", "there is no such call"},
    error_row{408, "request_too_slow", "the request took too long to arrive"},
    error_row{413, "body_too_large", "the body is larger than the limit"},
    error_row{414, "uri_too_long", "the path is longer than the limit"},
    error_row{431, "head_too_large", "the headers are larger than the limit"},
    error_row{internal_error, "internal", "the call failed inside this daemon"},
    error_row{0, "bad_request", "the request could not be read"},
};

/// Answer to a request that no handler answered.
net::http_response unserved(int status)
{
    auto const* const outcome =
        status == internal_error ? "unknown" : "not_run";
    auto const* const found = std::find_if(
        error_rows.begin(), error_rows.end() - 1,
        [&](error_row const& row) { return row.status_ == status; });
    nlohmann::json const body{{"error",
                               {{"code", found->code_},
                                {"message", found->message_},
                                {"step", "read request"},
                                {"peer", ""}}},
                              {"outcome", outcome}};
    http_reply reply;
    reply.set_status(status);
    reply.set_header("X-Tanagerlead-Outcome", outcome);
    reply.set_content(body.dump(), "application/json");
    return reply.response();
}

} // namespace

class server::impl
{
public:
    explicit impl(server_settings settings);
    ~impl() { stop(); }

    base::result<void> bind();
    void start();
    void stop();

    server_settings settings_;
    asio::io_context loop_{1};
    router router_;
    base::address local_;

private:
    using connection_ptr = http_reply::connection_ptr;

    void serve(connection_ptr const& from, net::http_request request);
    /// Runs the handler and has its reply sent on the loop.
    void run(router::route const& route, http_call const& call,
             connection_ptr const& from);
    static void send(connection_ptr const& to, http_reply const& reply);
    /// Runs `work` on the loop's thread and waits for it.
    template <class Work>
    auto on_loop(Work work);

    asio::executor_work_guard<asio::io_context::executor_type> keeps_running_;
    net::http_listener listener_;
    worker_pool workers_{worker_threads};
    std::thread thread_;
};

server::impl::impl(server_settings settings)
    : settings_{std::move(settings)}, keeps_running_{loop_.get_executor()},
      listener_{loop_, settings_.most_connections_,
                [this](connection_ptr const& from, net::http_request request)
                {
                    serve(from, std::move(request));
                }}
{
    listener_.set_limits({settings_.most_head_bytes_,
                          settings_.most_body_bytes_,
                          settings_.longest_request_, settings_.keep_idle_,
                          settings_.longest_write_});
    listener_.set_bad_request_handler(
        [](base::address const& /*from*/, int status)
        { return unserved(status); });
}

base::result<void> server::impl::bind()
{
    auto taken = listener_.listen(settings_.listen_);
    if (taken)
    {
        local_ = listener_.local_address();
    }
    return taken;
}

void server::impl::start()
{
    thread_ = std::thread{[this]
                          {
                              loop_.run();
                          }};
}

void server::impl::serve(connection_ptr const& from, net::http_request request)
{
    if (request.target_.size() > settings_.most_target_bytes_)
    {
        from->answer(unserved(414));
        return;
    }
    http_call call{std::move(request.method_),
                   std::move(request.target_),
                   std::move(request.headers_),
                   std::move(request.body_),
                   {}};
    auto const* const route = router_.find(call);
    if (route == nullptr)
    {
        from->answer(unserved(404));
        return;
    }
    if (route->where_ == runs_on::loop)
    {
        run(*route, call, from);
        return;
    }
    workers_.post([this, from, route, call = std::move(call)]
                  { run(*route, call, from); });
}

// An exception ends its call and not the daemon.
void server::impl::run(router::route const& route, http_call const& call,
                       connection_ptr const& from)
{
    http_reply reply;
    try
    {
        route.serve_(call, reply);
    }
    catch (std::exception const& problem)
    {
        logger().error("Call failed. path=" + call.target_ +
                       " reason=" + problem.what());
        asio::dispatch(loop_,
                       [from] { from->answer(unserved(internal_error)); });
        return;
    }
    asio::dispatch(loop_,
                   [from, reply = std::move(reply)] { send(from, reply); });
}

void server::impl::send(connection_ptr const& to, http_reply const& reply)
{
    if (reply.delivered_by())
    {
        reply.delivered_by()(to);
        return;
    }
    to->answer(reply.response());
}

template <class Work>
auto server::impl::on_loop(Work work)
{
    std::packaged_task<decltype(work())()> task{std::move(work)};
    auto result = task.get_future();
    asio::post(loop_, [&task] { task(); });
    return result.get();
}

void server::impl::stop()
{
    if (!thread_.joinable())
    {
        return;
    }
    on_loop(
        [this]
        {
            listener_.stop_accepting();
            listener_.close_after_answers();
            listener_.close_idle();
        });
    auto const until = net::now() + settings_.longest_stop_;
    while (!on_loop([this] { return listener_.is_idle(); }) &&
           net::now() < until)
    {
        std::this_thread::sleep_for(stop_poll);
    }
    workers_.stop();
    on_loop([this] { listener_.abort_all(); });
    loop_.stop();
    thread_.join();
}

server::server(server_settings settings)
    : impl_{std::make_unique<impl>(std::move(settings))}
{
}

server::~server() = default;

router& server::routes()
{
    return impl_->router_;
}

boost::asio::io_context& server::loop()
{
    return impl_->loop_;
}

base::result<void> server::bind()
{
    return impl_->bind();
}

base::result<void> server::start()
{
    if (impl_->local_.empty())
    {
        auto taken = bind();
        if (!taken)
        {
            return taken;
        }
    }
    impl_->start();
    return base::success();
}

void server::stop()
{
    impl_->stop();
}

base::address server::local_address() const
{
    return impl_->local_;
}

} // namespace tanagerlead::http
