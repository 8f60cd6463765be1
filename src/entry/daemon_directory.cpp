#include "src/entry/daemon_directory.hpp"

#include "src/entry/peer_exchange.hpp"

namespace tanagerlead::entry
{

using namespace std::chrono_literals;

namespace
{

/// How long callers keep an answer. Short, so that they follow planned stops
/// and deaths; asking costs little.
constexpr base::duration keep_time = 2s;

} // namespace

std::vector<base::address>
daemon_directory::others(std::optional<routing::id_digest> where,
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
daemon_directory::addresses(base::data_centre_id const& near, bool is_ready,
                            base::time_point now) const
{
    auto found = others(routing::digest_of(near.str()), now);
    if (is_ready && (near == settings_.data_centre_ || found.empty()))
    {
        found.push_back(settings_.callers_);
    }
    return found.empty() ? others(std::nullopt, now) : found;
}

net::http_response daemon_directory::answer(std::string const& target,
                                            bool is_ready,
                                            base::time_point now) const
{
    net::http_response response;
    auto const question = protocol_.read_entry_question(target);
    if (!question)
    {
        response.status_ = 404;
        return response;
    }
    entry_answer found;
    found.addresses_ = addresses(question->data_centre_, is_ready, now);
    found.keep_ = keep_time;
    if (found.addresses_.empty())
    {
        response.status_ = 503;
        return response;
    }
    response.status_ = 200;
    response.headers_.add("Content-Type", "application/json");
    response.body_ = protocol_.write_entry_answer(found);
    return response;
}

} // namespace tanagerlead::entry
