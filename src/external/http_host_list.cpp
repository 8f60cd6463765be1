#include "src/external/http_host_list.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace tanagerlead::external
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr char const* read_step = "read host list";

base::result<host_state> read_state(std::string const& text)
{
    if (text == "live")
    {
        return host_state::live;
    }
    if (text == "leaving")
    {
        return host_state::leaving;
    }
    return base::fail(base::error_code::corrupt, read_step, {},
                      "unknown state " + text);
}

base::result<void> read_group(json const& group, std::vector<listed_host>& out)
{
    auto const& labels = group.at("labels");
    listed_host host;
    host.host_ = base::host_id{labels.at("host").get<std::string>()};
    host.data_centre_ =
        base::data_centre_id{labels.at("data_centre").get<std::string>()};
    BOOST_OUTCOME_TRY(host.state_,
                      read_state(labels.at("state").get<std::string>()));
    for (auto const& target : group.at("targets"))
    {
        BOOST_OUTCOME_TRY(host.address_,
                          base::parse_address(target.get<std::string>()));
        out.push_back(host);
    }
    return base::success();
}

base::result<std::vector<listed_host>> decode(std::string const& body,
                                              base::address const& peer)
try
{
    std::vector<listed_host> hosts;
    for (auto const& group : json::parse(body))
    {
        BOOST_OUTCOME_TRY(read_group(group, hosts));
    }
    return hosts;
}
catch (json::exception const& problem)
{
    return base::fail(base::error_code::corrupt, read_step, peer.str(),
                      problem.what());
}

base::result<std::vector<listed_host>> read_from(base::address const& endpoint,
                                                 http_timeouts const& timeouts)
{
    auto const answer = get(endpoint, "/hosts", timeouts);
    if (!answer)
    {
        return base::fail(base::error_code::unavailable, read_step,
                          endpoint.str(), answer.error().detail_);
    }
    if (answer.value().status_ != status_ok)
    {
        return base::fail(base::error_code::unavailable, read_step,
                          endpoint.str(),
                          "status " + std::to_string(answer.value().status_));
    }
    auto hosts = decode(answer.value().body_, endpoint);
    if (!hosts)
    {
        // A half-read list is worse than an old one, so nothing is kept.
        return base::fail(base::error_code::corrupt, read_step, endpoint.str(),
                          hosts.error().detail_);
    }
    return hosts;
}

} // namespace

http_host_list::http_host_list(std::vector<base::address> endpoints,
                               http_timeouts timeouts)
    : endpoints_{std::move(endpoints)}, timeouts_{timeouts}
{
}

base::result<std::vector<listed_host>> http_host_list::read()
{
    base::result<std::vector<listed_host>> outcome =
        base::fail(base::error_code::unavailable, read_step, {},
                   "no host list in the settings");
    for (auto const& endpoint : endpoints_)
    {
        outcome = read_from(endpoint, timeouts_);
        if (outcome)
        {
            return outcome;
        }
    }
    return outcome;
}

} // namespace tanagerlead::external
