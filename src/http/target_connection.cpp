#include "src/http/target_connection.hpp"

#include "src/http/header_names.hpp"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>

namespace tanagerlead::http
{

namespace
{

/// Tells when the connection is open, which separates "nothing was sent" from
/// "something may have been".
class target_http_client final : public httplib::ClientImpl,
                                 public exchange_stopper
{
public:
    target_http_client(base::address const& target, target_listener& listener)
        : ClientImpl{target.ip_, target.port_}, listener_{listener}
    {
    }

    ~target_http_client() override
    {
        if (duplicate_ >= 0)
        {
            ::close(duplicate_);
        }
    }

    target_http_client(target_http_client const&) = delete;
    target_http_client& operator=(target_http_client const&) = delete;

    // The library's own `stop` takes the lock under which it connects, and so
    // could not be called by a listener.
    void stop() override
    {
        std::lock_guard const lock{mutex_};
        stopped_ = true;
        if (duplicate_ >= 0)
        {
            ::shutdown(duplicate_, SHUT_RDWR);
        }
    }

    bool connected() const { return connected_; }
    bool stopped() const
    {
        std::lock_guard const lock{mutex_};
        return stopped_;
    }

private:
    // NOLINTNEXTLINE(readability-identifier-naming)
    bool create_and_connect_socket(Socket& socket,
                                   httplib::Error& error) override
    {
        if (!ClientImpl::create_and_connect_socket(socket, error))
        {
            return false;
        }
        connected_ = true;
        {
            std::lock_guard const lock{mutex_};
            duplicate_ = ::dup(socket.sock);
        }
        listener_.on_connected(*this);
        return true;
    }

    target_listener& listener_;
    bool connected_ = false;
    mutable std::mutex mutex_;
    bool stopped_ = false;
    /// Of the socket, which the library may close at any time.
    int duplicate_ = -1;
};

httplib::Request make_request(target_call const& call)
{
    httplib::Request request;
    request.method = call.method_;
    request.path = call.path_;
    request.body = call.body_;
    for (auto const& field : call.headers_)
    {
        request.headers.emplace(field.name_, field.value_);
    }
    if (!call.content_type_.empty())
    {
        request.headers.emplace("Content-Type", call.content_type_);
    }
    // The answer's bytes are passed on as they are.
    request.set_header("Accept-Encoding", "identity");
    return request;
}

/// Whether a cut can be told from the end of the body.
bool is_framed(httplib::Response const& response, std::string const& method)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return response.has_header("Content-Length") ||
           response.has_header("Transfer-Encoding") || method == "HEAD" ||
           response.status == no_content || response.status == not_modified;
}

target_head make_head(httplib::Response const& response)
{
    target_head head{
        response.status, response.get_header_value("Content-Type"), {}};
    for (auto const& [name, value] : response.headers)
    {
        head.headers_.push_back({name, value});
    }
    return head;
}

void apply(connection_limits const& limits, httplib::ClientImpl& client)
{
    client.set_connection_timeout(limits.connect_);
    client.set_read_timeout(limits.silence_);
    client.set_write_timeout(limits.silence_);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
    client.set_follow_location(false);
    client.set_url_encode(false);
    client.set_decompress(false);
}

} // namespace

std::string target_head::header(std::string_view name) const
{
    for (auto const& field : headers_)
    {
        if (equal_names(field.name_, name))
        {
            return field.value_;
        }
    }
    return {};
}

exchange_end http_target_connection::exchange(base::address const& target,
                                              target_call const& call,
                                              connection_limits const& limits,
                                              target_listener& listener)
{
    target_http_client client{target, listener};
    apply(limits, client);
    auto request = make_request(call);
    bool refused = false;
    bool framed = false;
    request.response_handler = [&](httplib::Response const& response)
    {
        framed = is_framed(response, call.method_);
        refused = !listener.on_head(make_head(response));
        return !refused;
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        refused = !listener.on_bytes({data, size});
        return !refused;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    auto const whole = client.send(request, response, error);
    if (!client.connected())
    {
        return exchange_end::not_sent;
    }
    if (refused || client.stopped())
    {
        return exchange_end::stopped;
    }
    return whole && framed ? exchange_end::complete : exchange_end::cut;
}

} // namespace tanagerlead::http
