#include "src/external/http_client.hpp"

#include "src/net/http_client.hpp"

#include <optional>

namespace tanagerlead::external
{

namespace
{

/// Runs one call on a loop of its own, on this thread.
base::result<http_answer> exchange(base::address const& to,
                                   net::http_request request,
                                   http_timeouts const& timeouts)
{
    auto const step = request.method_;
    request.headers_.set("Host", to.str());
    request.headers_.set("Connection", "close");
    net::asio::io_context loop{1};
    net::http_client client{loop};
    std::optional<base::result<net::http_response>> outcome;
    client.call(to, step, std::move(request),
                {timeouts.connect_ + timeouts.read_, timeouts.connect_},
                [&](base::result<net::http_response> got)
                { outcome = std::move(got); });
    while (!outcome)
    {
        loop.run_one();
    }
    if (!*outcome)
    {
        return base::failure(outcome->error());
    }
    return http_answer{outcome->value().status_,
                       std::move(outcome->value().body_)};
}

} // namespace

base::result<http_answer> post_json(base::address const& to,
                                    std::string const& path,
                                    std::string const& body,
                                    http_timeouts const& timeouts)
{
    net::http_request request{"POST", path, {}, body};
    request.headers_.set("Content-Type", "application/json");
    return exchange(to, std::move(request), timeouts);
}

base::result<http_answer> get(base::address const& from,
                              std::string const& path,
                              http_timeouts const& timeouts)
{
    return exchange(from, {"GET", path, {}, {}}, timeouts);
}

} // namespace tanagerlead::external
