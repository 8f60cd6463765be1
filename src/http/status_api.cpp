#include "src/http/status_api.hpp"

#include "src/http/operator_answer.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::http
{

namespace
{

using nlohmann::json;

template <class Value>
json or_null(std::optional<Value> const& value)
{
    return value ? json(*value) : json{};
}

json write_members(std::vector<daemon_version> const& members)
{
    auto out = json::array();
    for (auto const& each : members)
    {
        out.push_back({{"daemon", each.daemon_.str()},
                       {"data_centre", each.data_centre_.str()},
                       {"state", each.state_},
                       {"version", static_cast<std::uint64_t>(each.version_)}});
    }
    return out;
}

json write_cells(std::vector<cell_view> const& cells)
{
    auto out = json::array();
    for (auto const& each : cells)
    {
        out.push_back({{"cell", each.cell_.str()},
                       {"owner", each.owner_.str()},
                       {"targets", each.targets_},
                       {"works_from_share", each.works_from_share_},
                       {"waiting_by_tier", or_null(each.waiting_by_tier_)}});
    }
    return out;
}

json write_status(daemon_status const& now)
{
    return {{"daemon", now.daemon_.str()},
            {"version", static_cast<std::uint64_t>(now.version_)},
            {"accepts_work", now.accepts_work_},
            {"isolated", now.isolated_},
            {"members", write_members(now.members_)},
            {"cells", write_cells(now.cells_)},
            {"refused_datagrams",
             {{"forged", now.forged_datagrams_},
              {"malformed", now.malformed_datagrams_}}},
            {"peer_bytes",
             {{"sent", now.peer_bytes_sent_},
              {"received", now.peer_bytes_received_}}},
            {"control_time_ms", base::milliseconds(now.control_time_)}};
}

json write_target(target_view const& target)
{
    auto pools = json::array();
    for (auto const& pool : target.pools_)
    {
        pools.push_back(pool.str());
    }
    return {{"target", target.target_.str()},
            {"pools", pools},
            {"address", target.address_.str()},
            {"data_centre", target.data_centre_.str()},
            {"cell", target.cell_.str()},
            {"owner", target.owner_.str()},
            {"slots", target.slots_},
            {"draining", target.draining_},
            {"in_flight", or_null(target.in_flight_)},
            {"cell_waiting_by_tier", or_null(target.waiting_by_tier_)}};
}

json write_explanation(request_explanation const& told)
{
    json out{{"request", told.request_.str()},
             {"workspace", told.workspace_.str()},
             {"pool", told.pool_.str()},
             {"tier", base::index(told.tier_)},
             {"cell", told.cell_.str()},
             {"owner", told.owner_.str()},
             {"waiting_ahead", told.waiting_ahead_},
             {"waited_ms", base::milliseconds(told.waited_)},
             {"decision", told.decision_},
             {"decided_by", told.decided_by_.str()},
             {"from_share", told.from_share_},
             {"tries", told.tries_},
             {"last_event", told.last_event_}};
    if (!told.target_.empty())
    {
        out["target"] = told.target_.str();
        out["address"] = told.address_.str();
    }
    if (!told.cause_.empty())
    {
        out["cause"] = told.cause_;
        out["retry_after_ms"] = base::milliseconds(told.retry_after_);
    }
    return out;
}

} // namespace

void status_api::add_routes(router& to)
{
    using member = void (status_api::*)(http_call const&, http_reply&);
    auto const bind = [this](member serve)
    {
        return guard_.protect([this, serve](auto const& in, auto& out)
                              { (this->*serve)(in, out); });
    };
    to.add("GET", "/operator/v1/status", bind(&status_api::status),
           runs_on::worker);
    to.add("GET", "/operator/v1/targets", bind(&status_api::targets),
           runs_on::worker);
    to.add("GET", "/operator/v1/explain/{}", bind(&status_api::explain),
           runs_on::worker);
}

void status_api::status(http_call const& /*in*/, http_reply& out)
{
    answer_operator(out, write_status(readers_.status_()));
}

void status_api::targets(http_call const& /*in*/, http_reply& out)
{
    auto targets = json::array();
    for (auto const& target : readers_.targets_())
    {
        targets.push_back(write_target(target));
    }
    answer_operator(out, {{"targets", targets}});
}

void status_api::explain(http_call const& in, http_reply& out)
{
    base::request_id id;
    if (!base::parse_request_id(in.captures_.front(), id))
    {
        answer_operator_error(out, {base::error_code::invalid_argument,
                                    "read request id",
                                    {},
                                    "must be 32 hexadecimal digits"});
        return;
    }
    auto const told = readers_.explain_(id);
    if (!told)
    {
        answer_operator_error(out, {base::error_code::not_found,
                                    "explain request",
                                    {},
                                    "this daemon knows no such request, or has "
                                    "forgotten it"});
        return;
    }
    answer_operator(out, write_explanation(*told));
}

} // namespace tanagerlead::http
