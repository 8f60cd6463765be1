#include "src/base/numbers.hpp"
#include "src/entry/data_plane.hpp"
#include "src/entry/relay_fields.hpp"

// Requests that daemons pass on to each other, and what they tell about the
// pools that they reach.
namespace tanagerlead::entry
{

// A relay that decides by an older configuration than the sender could do what
// is no longer allowed.
void data_plane::on_relayed_request(connection_ptr const& from,
                                    net::http_request request)
{
    std::uint64_t version = 0;
    int attempts = 0;
    auto const is_well_formed =
        base::parse_number(request.headers_.value(relay_fields::configuration),
                           version) &&
        base::parse_number(request.headers_.value(relay_fields::attempts),
                           attempts) &&
        attempts > 0;
    request.headers_.remove(relay_fields::configuration);
    request.headers_.remove(relay_fields::attempts);
    base::pool_id const pool{request.headers_.value(relay_fields::pool)};
    request.headers_.remove(relay_fields::pool);
    auto metadata = protocol_.read_request_metadata(request.headers_);
    auto const sender = parse_peer_ip(from->peer().ip_);
    if (!is_well_formed || !metadata || !sender ||
        !peers_.board().data_centre_of(*sender) || !configuration_ ||
        static_cast<std::uint64_t>(configuration_->version()) < version ||
        shutdown_.rejects_requests())
    {
        refuse_relayed(from);
        return;
    }
    start_call(from, std::move(request), std::move(metadata).value(),
               relay_terms{pool, attempts});
}

void data_plane::refuse_relayed(connection_ptr const& from)
{
    net::http_response response;
    response.status_ = 503;
    response.headers_.add(relay_fields::result,
                          relay_fields::result_unreachable);
    from->answer(response);
}

std::optional<routing::target_info>
data_plane::find_substitute(call const& waiting)
{
    auto const& pool = waiting.context().pool_;
    auto const owner = dispatcher_.find_slot_owner(pool);
    return owner ? links_.relay_at(*owner, pool, waiting.tried())
                 : std::nullopt;
}

void data_plane::on_reach_changed(base::pool_id const& pool)
{
    peers_.schedule_reports();
    if (links_.reach().reaches(pool))
    {
        return;
    }
    outages_.on_pool_lost(pool);
    net::asio::post(loop_,
                    [this, pool]
                    {
                        auto const calls = calls_;
                        for (auto const& [id, waiting] : calls)
                        {
                            if (waiting->context().pool_ == pool)
                            {
                                waiting->on_pool_unreachable();
                            }
                        }
                    });
}

void data_plane::add_reach(routing::peer_report& report) const
{
    for (auto const& pool : links_.reach().unreachable_pools())
    {
        if (report.unreachable_pools_.size() <
            routing::peer_report::max_unreachable_pools)
        {
            report.unreachable_pools_.push_back(routing::digest_of(pool.str()));
        }
    }
    report.is_cut_off_ = links_.reach().is_cut_off();
}

} // namespace tanagerlead::entry
