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
daemon_directory::peer_addresses(std::optional<routing::id_digest> where,
                                 base::time_point now) const
{
    std::vector<base::address> out;
    for (auto const peer : peers_.ready(where, now))
    {
        out.push_back({to_string(peer), settings_.callers_.port_});
    }
    return out;
}

std::vector<base::address>
daemon_directory::find_addresses(base::data_centre_id const& data_centre,
                                 bool is_ready, base::time_point now) const
{
    auto found = peer_addresses(routing::digest_of(data_centre.str()), now);
    if (is_ready && (data_centre == settings_.data_centre_ || found.empty()))
    {
        found.push_back(settings_.callers_);
    }
    return found.empty() ? peer_addresses(std::nullopt, now) : found;
}

net::http_response daemon_directory::answer(std::string const& target,
                                            bool is_ready,
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
    found.addresses_ = find_addresses(question->data_centre_, is_ready, now);
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
