#include "tools/operator/answer.hpp"
#include "tools/operator/command.hpp"
#include "tools/operator/table.hpp"

#include <nlohmann/json.hpp>

#include <ostream>

namespace tanagerlead::operator_tool
{

namespace
{

using nlohmann::json;

/// Stands for what only the owner of the cell knows.
constexpr char const* not_known_here = "-";

std::string text(json const& body, char const* name)
{
    auto const found = body.find(name);
    if (found == body.end() || found->is_null())
    {
        return not_known_here;
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string yes_no(json const& body, char const* name)
{
    return body.value(name, false) ? "yes" : "no";
}

/// "3/0/12", the highest tier first.
std::string by_tier(json const& counts)
{
    if (!counts.is_array())
    {
        return not_known_here;
    }
    std::string out;
    for (auto const& count : counts)
    {
        out += (out.empty() ? "" : "/") + count.dump();
    }
    return out;
}

void print_members(std::ostream& out, json const& body)
{
    table members{{"DAEMON", "DATA CENTRE", "STATE", "VERSION"}};
    for (auto const& each : body.value("members", json::array()))
    {
        members.add({text(each, "daemon"), text(each, "data_centre"),
                     text(each, "state"), text(each, "version")});
    }
    members.print(out);
}

void print_cells(std::ostream& out, json const& body)
{
    table cells{{"CELL", "OWNER", "TARGETS", "FROM SHARE", "WAITING BY TIER"}};
    for (auto const& each : body.value("cells", json::array()))
    {
        cells.add({text(each, "cell"), text(each, "owner"),
                   text(each, "targets"), yes_no(each, "works_from_share"),
                   by_tier(each.value("waiting_by_tier", json{}))});
    }
    cells.print(out);
}

void print_status(std::ostream& out, json const& body)
{
    auto const refused = body.value("refused_datagrams", json::object());
    auto const bytes = body.value("peer_bytes", json::object());
    out << "daemon " << text(body, "daemon") << ", version "
        << text(body, "version") << "\n"
        << "accepts work: " << yes_no(body, "accepts_work")
        << ", isolated: " << yes_no(body, "isolated") << "\n"
        << "refused datagrams: " << text(refused, "forged") << " forged, "
        << text(refused, "malformed") << " malformed\n"
        << "peer bytes: " << text(bytes, "sent") << " sent, "
        << text(bytes, "received") << " received\n"
        << "control thread: " << text(body, "control_time_ms")
        << " ms of processor time\n\n";
    print_members(out, body);
    out << "\n";
    print_cells(out, body);
}

void print_targets(std::ostream& out, json const& body)
{
    table targets{{"TARGET", "ADDRESS", "DATA CENTRE", "CELL", "OWNER",
                   "IN FLIGHT", "SLOTS", "DRAINING", "CELL WAITING BY TIER"}};
    for (auto const& each : body.value("targets", json::array()))
    {
        targets.add({text(each, "target"), text(each, "address"),
                     text(each, "data_centre"), text(each, "cell"),
                     text(each, "owner"), text(each, "in_flight"),
                     text(each, "slots"), yes_no(each, "draining"),
                     by_tier(each.value("cell_waiting_by_tier", json{}))});
    }
    targets.print(out);
}

void print_explanation(std::ostream& out, json const& body)
{
    out << "request " << text(body, "request") << " of workspace "
        << text(body, "workspace") << ", tier " << text(body, "tier")
        << ", pool " << text(body, "pool") << "\n"
        << "cell " << text(body, "cell") << ", owner " << text(body, "owner")
        << ", " << text(body, "waiting_ahead") << " waiting before it\n"
        << "waited " << text(body, "waited_ms") << " ms\n"
        << text(body, "decision");
    if (body.contains("target"))
    {
        out << " to " << text(body, "target") << " at "
            << text(body, "address");
    }
    if (body.contains("cause"))
    {
        out << ": " << text(body, "cause") << ", retry after "
            << text(body, "retry_after_ms") << " ms";
    }
    if (!body.value("decided_by", std::string{}).empty())
    {
        out << ", decided by " << text(body, "decided_by");
    }
    out << (body.value("from_share", false) ? " from its standing share\n"
                                            : "\n")
        << "tries without dispatch: " << text(body, "tries") << "\n";
    if (!body.value("last_event", std::string{}).empty())
    {
        out << "last report: " << text(body, "last_event") << "\n";
    }
}

exit_code show(context const& from, std::string const& path,
               void (*print)(std::ostream&, json const&))
{
    auto const body = get(from, path);
    if (!body)
    {
        return report(from, body.error());
    }
    if (from.options_.json_)
    {
        print_json(from, body.value());
    }
    else
    {
        print(from.out_, body.value());
    }
    return exit_code::ok;
}

exit_code run_status(context const& from)
{
    return from.arguments_.empty() ? show(from, "status", print_status)
                                   : usage(from, "status");
}

exit_code run_targets(context const& from)
{
    return from.arguments_.empty() ? show(from, "targets", print_targets)
                                   : usage(from, "targets");
}

exit_code run_explain(context const& from)
{
    return from.arguments_.size() == 1
               ? show(from, "explain/" + from.arguments_[0], print_explanation)
               : usage(from, "explain REQUEST");
}

exit_code show_refused_drain(context const& from, int status, json const& body)
{
    if (from.options_.json_)
    {
        print_json(from, body);
    }
    from.errors_ << "tanagerlead: "
                 << body.value("message", std::string{"the drain is refused"})
                 << "\n";
    print_errors(from.errors_, body);
    return status == status_conflict ? exit_code::conflict : exit_code::invalid;
}

exit_code set_draining(context const& from, bool draining)
{
    json const order{{"target", from.arguments_[0]}, {"draining", draining}};
    auto const answer = from.client_.post("drain", order.dump());
    if (!answer)
    {
        return report(from, answer.error());
    }
    auto const status = answer.value().status_;
    auto const refusal = json::parse(answer.value().body_, nullptr, false);
    if ((status == status_conflict || status == status_unprocessable) &&
        refusal.is_object())
    {
        return show_refused_drain(from, status, refusal);
    }
    auto const accepted = read_json(answer.value());
    if (!accepted)
    {
        return report(from, accepted.error());
    }
    if (from.options_.json_)
    {
        print_json(from, accepted.value());
        return exit_code::ok;
    }
    from.out_ << from.arguments_[0]
              << (draining ? " is draining" : " takes work")
              << " as of version " << text(accepted.value(), "version") << "\n";
    return exit_code::ok;
}

exit_code run_drain(context const& from)
{
    return from.arguments_.size() == 1 ? set_draining(from, true)
                                       : usage(from, "drain TARGET");
}

exit_code run_undrain(context const& from)
{
    return from.arguments_.size() == 1 ? set_draining(from, false)
                                       : usage(from, "undrain TARGET");
}

constexpr command commands[] = {
    {"status", "", "show a daemon, its members and its cells", run_status},
    {"targets", "", "list the targets with what runs and waits", run_targets},
    {"drain", "TARGET", "give a target no new work (a daemon: SIGTERM)",
     run_drain},
    {"undrain", "TARGET", "let a drained target take work again", run_undrain},
    {"explain", "REQUEST", "tell what a daemon decided on a request of its own",
     run_explain},
};

} // namespace

std::span<command const> fleet_commands()
{
    return commands;
}

} // namespace tanagerlead::operator_tool
