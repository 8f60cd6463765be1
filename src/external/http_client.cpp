#include "src/external/http_client.hpp"

#include <httplib.h>

namespace tanagerlead::external
{

namespace
{

httplib::Client make_client(base::address const& to,
                            http_timeouts const& timeouts)
{
    httplib::Client client{to.ip_, to.port_};
    client.set_connection_timeout(timeouts.connect_);
    client.set_read_timeout(timeouts.read_);
    client.set_write_timeout(timeouts.read_);
    client.set_tcp_nodelay(true);
    return client;
}

base::error_code classify(httplib::Error error)
{
    switch (error)
    {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return base::error_code::not_sent;
    default:
        return base::error_code::unknown_effect;
    }
}

base::result<http_answer> convert(httplib::Result const& outcome,
                                  char const* step, base::address const& peer)
{
    if (!outcome)
    {
        return base::fail(classify(outcome.error()), step, peer.str(),
                          httplib::to_string(outcome.error()));
    }
    return http_answer{outcome->status, outcome->body};
}

} // namespace

base::result<http_answer> post_json(base::address const& to,
                                    std::string const& path,
                                    std::string const& body,
                                    http_timeouts const& timeouts)
{
    auto client = make_client(to, timeouts);
    return convert(client.Post(path, body, "application/json"), "POST", to);
}

base::result<http_answer> get(base::address const& from,
                              std::string const& path,
                              http_timeouts const& timeouts)
{
    auto client = make_client(from, timeouts);
    return convert(client.Get(path), "GET", from);
}

} // namespace tanagerlead::external
