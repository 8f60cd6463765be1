#include "src/base/random.hpp"
#include "src/config/json_text.hpp"
#include "src/config/patch.hpp"
#include "tools/operator/answer.hpp"
#include "tools/operator/assignment.hpp"
#include "tools/operator/command.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace tanagerlead::operator_tool
{

namespace
{

using nlohmann::json;

constexpr int patch_tries = 3;
constexpr auto wait_interval = std::chrono::milliseconds{200};

void print_change(std::ostream& out, std::string const& pointer,
                  std::string const& before, std::string const& after)
{
    if (!before.empty())
    {
        out << "- " << pointer << " " << before << "\n";
    }
    if (!after.empty())
    {
        out << "+ " << pointer << " " << after << "\n";
    }
}

std::string text_of(json const& value)
{
    return value.is_null() ? std::string{} : value.dump();
}

void print_changes(std::ostream& out, json const& body)
{
    for (auto const& change : body.value("changes", json::array()))
    {
        print_change(out, change.value("path", std::string{}),
                     text_of(change.value("before", json{})),
                     text_of(change.value("after", json{})));
    }
}

base::result<std::string> read_file(std::string const& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return std::move(text).str();
    }
    std::ifstream file{path};
    if (!file)
    {
        return base::fail(base::error_code::invalid_argument, "read file", path,
                          "cannot be opened");
    }
    text << file.rdbuf();
    return std::move(text).str();
}

exit_code run_get(context const& from)
{
    if (from.arguments_.size() > 1)
    {
        return usage(from, "config get [VERSION]");
    }
    auto const path = from.arguments_.empty()
                          ? std::string{"config"}
                          : "config?version=" + from.arguments_[0];
    auto const body = get(from, path);
    if (!body)
    {
        return report(from, body.error());
    }
    if (from.options_.json_)
    {
        print_json(from, body.value());
        return exit_code::ok;
    }
    from.errors_ << "version " << body.value().at("version") << "\n";
    print_json(from, body.value().at("configuration"));
    return exit_code::ok;
}

exit_code run_history(context const& from)
{
    auto const body = get(from, "config/history");
    if (!body)
    {
        return report(from, body.error());
    }
    if (from.options_.json_)
    {
        print_json(from, body.value());
        return exit_code::ok;
    }
    for (auto const& each : body.value().at("versions"))
    {
        from.out_ << each.at("version") << "  "
                  << each.at("patch_id").get<std::string>() << "\n";
    }
    return exit_code::ok;
}

base::result<config::configuration> read_version(context const& from,
                                                 std::string const& version)
{
    auto const path =
        version.empty() ? std::string{"config"} : "config?version=" + version;
    BOOST_OUTCOME_TRY(auto const body, get(from, path));
    return config::read_configuration(
               body.value("configuration", json::object()), {})
        .configuration_;
}

exit_code run_diff(context const& from)
{
    auto const& words = from.arguments_;
    if (words.empty() || words.size() > 2)
    {
        return usage(from, "config diff VERSION [VERSION]");
    }
    auto const before = read_version(from, words[0]);
    if (!before)
    {
        return report(from, before.error());
    }
    auto const after = read_version(from, words.size() > 1 ? words[1] : "");
    if (!after)
    {
        return report(from, after.error());
    }
    auto const changes = config::list_changes(before.value(), after.value());
    auto listed = json::array();
    for (auto const& change : changes)
    {
        listed.push_back(
            {{"op", change.operation_},
             {"path", change.pointer_},
             {"before", json::parse(change.before_, nullptr, false)},
             {"after", json::parse(change.after_, nullptr, false)}});
        if (!from.options_.json_)
        {
            print_change(from.out_, change.pointer_, change.before_,
                         change.after_);
        }
    }
    if (from.options_.json_)
    {
        print_json(from, {{"changes", listed}});
    }
    return exit_code::ok;
}

/// The patch to send: of a file, or of the assignments.
base::result<json> read_patch(context const& from)
{
    std::string text;
    if (from.arguments_.empty())
    {
        BOOST_OUTCOME_TRY(text, merge_patch_of(from.options_.assignments_));
    }
    else
    {
        BOOST_OUTCOME_TRY(text, read_file(from.arguments_[0]));
    }
    std::vector<config::field_error> errors;
    auto change = config::parse_json(text, errors);
    if (!errors.empty())
    {
        return base::fail(base::error_code::invalid_argument, "read patch", {},
                          config::to_lines(errors));
    }
    return json{{"kind", change.is_array() ? "json" : "merge"},
                {"patch", std::move(change)}};
}

bool names_one_source(context const& from)
{
    return from.arguments_.size() +
               (from.options_.assignments_.empty() ? 0 : 1) ==
           1;
}

exit_code run_validate(context const& from)
{
    if (!names_one_source(from))
    {
        return usage(from, "config validate FILE | --set POINTER=VALUE ...");
    }
    auto const change = read_patch(from);
    if (!change)
    {
        return report(from, change.error());
    }
    auto const answer =
        from.client_.post("config/validate", change.value().dump());
    if (!answer)
    {
        return report(from, answer.error());
    }
    auto const body = json::parse(answer.value().body_, nullptr, false);
    if (answer.value().status_ == status_unprocessable && body.is_object())
    {
        print_errors(from.errors_, body);
        return exit_code::invalid;
    }
    auto const valid = read_json(answer.value());
    if (!valid)
    {
        return report(from, valid.error());
    }
    if (from.options_.json_)
    {
        print_json(from, valid.value());
    }
    else
    {
        print_changes(from.out_, valid.value());
        from.out_ << "valid against version " << valid.value().at("version")
                  << "\n";
    }
    return exit_code::ok;
}

std::string make_patch_id()
{
    std::ostringstream text;
    text << std::hex << base::entropy();
    return text.str();
}

base::result<json> make_request(context const& from)
{
    BOOST_OUTCOME_TRY(auto request, read_patch(from));
    if (from.options_.base_version_)
    {
        request["base_version"] = *from.options_.base_version_;
    }
    else
    {
        BOOST_OUTCOME_TRY(auto const present, get(from, "config"));
        request["base_version"] = present.at("version");
    }
    request["patch_id"] = from.options_.patch_id_.empty()
                              ? make_patch_id()
                              : from.options_.patch_id_;
    return request;
}

bool may_have_applied(base::result<operator_answer> const& answer)
{
    return answer ? exit_code_of(read_error(answer.value()).code_) ==
                        exit_code::unknown
                  : answer.error().code_ == base::error_code::unknown_effect;
}

/// Repeats with the same patch id as long as the effect is not known.
base::result<operator_answer> send_patch(context const& from,
                                         json const& request)
{
    auto const body = request.dump();
    auto answer = from.client_.post("config/patch", body);
    auto unknown = may_have_applied(answer);
    for (int i = 1; i < patch_tries && unknown; ++i)
    {
        auto next = from.client_.post("config/patch", body);
        auto const settled = next && (next.value().status_ == status_ok ||
                                      next.value().status_ == status_conflict);
        if (settled || may_have_applied(next))
        {
            answer = std::move(next);
        }
        unknown = !settled;
    }
    return answer;
}

exit_code wait_everywhere(context const& from, std::uint64_t version)
{
    base::steady_clock const clock;
    auto const start = clock.now();
    for (;;)
    {
        auto const body = get(from, "config/in-force");
        if (body &&
            body.value().value("everywhere", std::uint64_t{0}) >= version)
        {
            from.out_ << "in force everywhere after "
                      << base::seconds(clock.now() - start) << " s\n";
            return exit_code::ok;
        }
        if (clock.now() - start > from.options_.longest_wait_)
        {
            if (body)
            {
                print_json(from, body.value());
            }
            from.errors_ << "tanagerlead: not in force everywhere yet\n";
            return exit_code::not_everywhere;
        }
        std::this_thread::sleep_for(wait_interval);
    }
}

exit_code show_accepted(context const& from, json const& body)
{
    if (from.options_.json_)
    {
        print_json(from, body);
    }
    else
    {
        from.out_ << "accepted as version " << body.at("version") << "\n";
    }
    return from.options_.wait_
               ? wait_everywhere(from, body.at("version").get<std::uint64_t>())
               : exit_code::ok;
}

exit_code show_refused(context const& from, int status, json const& body)
{
    if (from.options_.json_)
    {
        print_json(from, body);
    }
    if (status == status_unprocessable)
    {
        print_errors(from.errors_, body);
        return exit_code::invalid;
    }
    from.errors_ << "tanagerlead: conflict: "
                 << body.value("message", std::string{})
                 << "; the current version is " << body.at("version")
                 << ", changed since:\n";
    print_changes(from.errors_, body);
    return exit_code::conflict;
}

exit_code run_patch(context const& from)
{
    if (!names_one_source(from))
    {
        return usage(from, "config patch FILE | --set POINTER=VALUE ...");
    }
    auto const request = make_request(from);
    if (!request)
    {
        return report(from, request.error());
    }
    auto const answer = send_patch(from, request.value());
    auto const is_unknown = may_have_applied(answer);
    if (is_unknown)
    {
        from.errors_ << "tanagerlead: whether the patch took effect is not "
                        "known; repeat it with --patch_id="
                     << request.value().at("patch_id").get<std::string>()
                     << " --base_version=" << request.value().at("base_version")
                     << "\n";
    }
    if (!answer)
    {
        return report(from, answer.error());
    }
    auto const status = answer.value().status_;
    auto const body = json::parse(answer.value().body_, nullptr, false);
    auto const refused =
        status == status_conflict || status == status_unprocessable;
    if (refused && body.is_object())
    {
        return show_refused(from, status, body);
    }
    auto const accepted = read_json(answer.value());
    return accepted ? show_accepted(from, accepted.value())
                    : report(from, accepted.error());
}

constexpr command commands[] = {
    {"config get", "[VERSION]", "print the version in force, or a kept one",
     run_get},
    {"config patch", "FILE", "submit a patch (RFC 7396 or 6902), or --set",
     run_patch},
    {"config validate", "FILE", "check a patch and show what it would change",
     run_validate},
    {"config history", "", "list the versions that are kept", run_history},
    {"config diff", "VERSION [VERSION]", "show what changed between versions",
     run_diff},
};

} // namespace

std::span<command const> config_commands()
{
    return commands;
}

} // namespace tanagerlead::operator_tool
