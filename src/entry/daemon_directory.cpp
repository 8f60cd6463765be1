#include "src/entry/daemon_directory.hpp"

#include "src/entry/peer_exchange.hpp"

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// How long callers may cache an answer. The time is short so that callers
/// notice daemons that shut down or crash; a request to the directory costs
/// little.
constexpr base::duration answer_ttl = 2s;

} // namespace

std::vector<base::address>
daemon_directory::addresses_of(std::vector<routing::peer_ip> const& peers) const
{
    std::vector<base::address> out;
    for (auto const peer : peers)
    {
        out.push_back({to_string(peer), settings_.callers_.port_});
    }
    return out;
}

std::vector<base::address>
daemon_directory::find_addresses(base::data_centre_id const& data_centre,
                                 own_status const& own,
                                 base::time_point now) const
{
    auto const is_here = data_centre == settings_.data_centre_;
    auto const where = routing::digest_of(data_centre.str());
    auto found = addresses_of(peers_.serving(where, now));
    if (is_here && own.is_ready_ && !own.is_cut_off_ &&
        own.role_ == routing::daemon_role::serving)
    {
        found.push_back(settings_.callers_);
    }
    if (found.empty())
    {
        found = addresses_of(peers_.ready(where, now));
        if (own.is_ready_ && (is_here || found.empty()))
        {
            found.push_back(settings_.callers_);
        }
    }
    return found.empty() ? addresses_of(peers_.ready(std::nullopt, now))
                         : found;
}

net::http_response daemon_directory::answer(std::string const& target,
                                            own_status const& own,
                                            base::time_point now) const
{
    net::http_response response;
    auto const question = protocol_.read_directory_query(target);
    if (!question)
    {
        response.status_ = 404;
        return response;
    }
    directory_answer found;
    found.addresses_ = find_addresses(question->data_centre_, own, now);
    found.ttl_ = answer_ttl;
    if (found.addresses_.empty())
    {
        response.status_ = 503;
        return response;
    }
    response.status_ = 200;
    response.headers_.add("Content-Type", "application/json");
    response.body_ = protocol_.write_directory_answer(found);
    return response;
}

} // namespace tanagerlead::entry
