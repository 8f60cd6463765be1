#include "tools/operator/operator_client.hpp"

#include <httplib.h>

namespace tanagerlead::operator_tool
{

namespace
{

constexpr auto connect_timeout = std::chrono::seconds{2};
/// Above what a daemon spends on a service that hangs.
constexpr auto answer_timeout = std::chrono::seconds{60};

base::error_code classify(httplib::Error error)
{
    return error == httplib::Error::Connection ||
                   error == httplib::Error::ConnectionTimeout
               ? base::error_code::not_sent
               : base::error_code::unknown_effect;
}

} // namespace

base::result<operator_answer>
operator_client::get(std::string const& path) const
{
    return call(path, nullptr);
}

base::result<operator_answer>
operator_client::post(std::string const& path, std::string const& body) const
{
    return call(path, &body);
}

base::result<operator_answer>
operator_client::call(std::string const& path, std::string const* body) const
{
    base::result<operator_answer> outcome =
        base::fail(base::error_code::not_sent, "call daemon", {},
                   "no daemon named; see --daemon");
    for (auto const& daemon : daemons_)
    {
        outcome = call_one(daemon, path, body);
        if (outcome || outcome.error().code_ != base::error_code::not_sent)
        {
            break;
        }
    }
    return outcome;
}

base::result<operator_answer>
operator_client::call_one(base::address const& daemon, std::string const& path,
                          std::string const* body) const
{
    httplib::Client client{daemon.ip_, daemon.port_};
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(answer_timeout);
    client.set_write_timeout(answer_timeout);
    httplib::Headers const headers{{"Authorization", "Bearer " + key_}};
    auto const full = "/operator/v1/" + path;
    auto const sent =
        body == nullptr ? client.Get(full, headers)
                        : client.Post(full, headers, *body, "application/json");
    if (!sent)
    {
        return base::fail(classify(sent.error()), "call daemon", daemon.str(),
                          httplib::to_string(sent.error()));
    }
    return operator_answer{sent->status, sent->body};
}

} // namespace tanagerlead::operator_tool
