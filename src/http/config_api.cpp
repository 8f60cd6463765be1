#include "src/http/config_api.hpp"

#include "src/config/json_text.hpp"
#include "src/http/operator_answer.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

namespace tanagerlead::http
{

namespace
{

using nlohmann::json;

std::uint64_t number(base::config_version version)
{
    return static_cast<std::uint64_t>(version);
}

/// JSON text as a value; null where there was none.
json value_of(std::string const& text)
{
    return text.empty() ? json{} : json::parse(text, nullptr, false);
}

json write_changes(std::vector<config::field_change> const& changes)
{
    auto out = json::array();
    for (auto const& change : changes)
    {
        out.push_back({{"op", change.operation_},
                       {"path", change.pointer_},
                       {"before", value_of(change.before_)},
                       {"after", value_of(change.after_)}});
    }
    return out;
}

base::result<base::config_version> parse_version(std::string const& text)
{
    std::uint64_t value = 0;
    auto const* const end = text.data() + text.size();
    auto const [at, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc{} || at != end)
    {
        return base::fail(base::error_code::invalid_argument, "read version",
                          {}, "version must be a whole number");
    }
    return base::config_version{value};
}

/// The members of a patch call, each checked.
class patch_body
{
public:
    explicit patch_body(std::string const& text)
    {
        document_ = config::parse_json(text, errors_);
        if (errors_.empty() && !document_.is_object())
        {
            errors_.push_back({"", "must be an object"});
        }
        if (errors_.empty())
        {
            refuse_unknown_members();
        }
    }

    std::vector<config::field_error> const& errors() const { return errors_; }

    bool has(char const* name) const
    {
        return document_.is_object() && document_.contains(name);
    }

    base::config_version base_version()
    {
        auto const* const found = find("base_version");
        if (found == nullptr || !found->is_number_unsigned())
        {
            errors_.push_back({"/base_version", "must be a whole number"});
            return {};
        }
        return base::config_version{found->get<std::uint64_t>()};
    }

    std::string patch_id()
    {
        auto const* const found = find("patch_id");
        if (found == nullptr || !found->is_string())
        {
            errors_.push_back({"/patch_id", "must be a string"});
            return {};
        }
        return found->get<std::string>();
    }

    config::patch patch()
    {
        auto const* const kind = find("kind");
        auto const* const change = find("patch");
        auto const is_json = kind != nullptr && *kind == "json";
        if (kind == nullptr || (!is_json && *kind != "merge"))
        {
            errors_.push_back({"/kind", "must be \"merge\" or \"json\""});
        }
        if (change == nullptr)
        {
            errors_.push_back({"/patch", "is missing"});
            return {};
        }
        return {is_json ? config::patch_kind::json : config::patch_kind::merge,
                change->dump()};
    }

    std::string document()
    {
        auto const* const found = find("document");
        return found == nullptr ? std::string{} : found->dump();
    }

private:
    json const* find(char const* name) const
    {
        return has(name) ? &document_.at(name) : nullptr;
    }

    void refuse_unknown_members()
    {
        for (auto const& [name, value] : document_.items())
        {
            if (name != "base_version" && name != "patch_id" &&
                name != "kind" && name != "patch" && name != "document")
            {
                errors_.push_back(
                    {config::child_pointer("", name), "is not known"});
            }
        }
    }

    json document_;
    std::vector<config::field_error> errors_;
};

void answer_submitted(http_reply& out, config::submit_answer const& submitted)
{
    switch (submitted.status_)
    {
    case config::submit_status::accepted:
        answer_operator(out, {{"status", "accepted"},
                              {"version", number(submitted.version_)}});
        return;
    case config::submit_status::conflict:
        answer_operator(
            out,
            {{"status", "conflict"},
             {"version", number(submitted.version_)},
             {"message", submitted.patch_id_reused_
                             ? "the patch id was used for another patch"
                             : "the base is not the current version"},
             {"changes", write_changes(submitted.changes_)}},
            operator_status_conflict);
        return;
    case config::submit_status::invalid:
        answer_invalid(out, submitted.errors_);
        return;
    }
}

} // namespace

config_api::config_api(config::config_service& service, operator_guard guard,
                       version_reader versions)
    : service_{service}, guard_{std::move(guard)}, versions_{
                                                       std::move(versions)}
{
}

void config_api::add_routes(router& to)
{
    using member = void (config_api::*)(http_call const&, http_reply&);
    auto const bind = [this](member serve)
    {
        return guard_.protect([this, serve](auto const& in, auto& out)
                              { (this->*serve)(in, out); });
    };
    to.add("GET", "/operator/v1/config", bind(&config_api::get),
           runs_on::worker);
    to.add("GET", "/operator/v1/config/history", bind(&config_api::history),
           runs_on::worker);
    to.add("GET", "/operator/v1/config/in-force", bind(&config_api::in_force),
           runs_on::worker);
    to.add("POST", "/operator/v1/config/validate", bind(&config_api::validate),
           runs_on::worker);
    to.add("POST", "/operator/v1/config/patch", bind(&config_api::patch),
           runs_on::worker);
}

void config_api::get(http_call const& in, http_reply& out)
{
    auto wanted = service_.current();
    if (auto const asked = in.parameter("version"))
    {
        auto const version = parse_version(*asked);
        if (!version)
        {
            answer_operator_error(out, version.error());
            return;
        }
        auto const read = service_.store().read_version(version.value());
        if (!read)
        {
            answer_operator_error(out, read.error());
            return;
        }
        wanted = read.value().configuration_;
    }
    answer_operator(out,
                    {{"version", number(wanted->version_)},
                     {"configuration", config::write_configuration(*wanted)}});
}

void config_api::validate(http_call const& in, http_reply& out)
{
    patch_body body{in.body_};
    if (!body.errors().empty())
    {
        answer_invalid(out, body.errors());
        return;
    }
    // Checked against what is in force here, so it works without the service.
    auto const base = service_.current();
    config::checked_configuration checked;
    if (body.has("document"))
    {
        checked = config::parse_configuration(body.document(), base->version_);
    }
    else
    {
        auto const change = body.patch();
        if (body.errors().empty())
        {
            checked = config::apply_patch(*base, change, base->version_);
        }
    }
    checked.errors_.insert(checked.errors_.begin(), body.errors().begin(),
                           body.errors().end());
    if (!checked.ok())
    {
        answer_invalid(out, checked.errors_);
        return;
    }
    answer_operator(out, {{"status", "valid"},
                          {"version", number(base->version_)},
                          {"changes", write_changes(config::list_changes(
                                          *base, checked.configuration_))}});
}

void config_api::patch(http_call const& in, http_reply& out)
{
    patch_body body{in.body_};
    config::patch_request request;
    if (body.errors().empty())
    {
        request.base_version_ = body.base_version();
        request.patch_id_ = body.patch_id();
        request.patch_ = body.patch();
    }
    if (!body.errors().empty())
    {
        answer_invalid(out, body.errors());
        return;
    }
    auto const submitted = service_.store().submit(request);
    if (!submitted)
    {
        answer_operator_error(out, submitted.error());
        return;
    }
    if (submitted.value().status_ == config::submit_status::accepted)
    {
        service_.on_accepted(submitted.value());
    }
    answer_submitted(out, submitted.value());
}

void config_api::history(http_call const& /*in*/, http_reply& out)
{
    auto const heads = service_.store().history();
    if (!heads)
    {
        answer_operator_error(out, heads.error());
        return;
    }
    auto versions = json::array();
    for (auto const& head : heads.value())
    {
        versions.push_back(
            {{"version", number(head.version_)}, {"patch_id", head.patch_id_}});
    }
    answer_operator(out, {{"versions", versions}});
}

void config_api::in_force(http_call const& /*in*/, http_reply& out)
{
    auto daemons = json::array();
    auto const own = number(service_.in_force());
    auto everywhere = own;
    for (auto const& each : versions_())
    {
        daemons.push_back({{"daemon", each.daemon_.str()},
                           {"data_centre", each.data_centre_.str()},
                           {"state", each.state_},
                           {"version", number(each.version_)}});
        // The dead have nothing in force.
        if (each.state_ != "dead")
        {
            everywhere = std::min(everywhere, number(each.version_));
        }
    }
    answer_operator(
        out,
        {{"version", own}, {"everywhere", everywhere}, {"daemons", daemons}});
}

} // namespace tanagerlead::http
