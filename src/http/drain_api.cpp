#include "src/http/drain_api.hpp"

#include "src/base/random.hpp"
#include "src/config/json_text.hpp"
#include "src/http/operator_answer.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace tanagerlead::http
{

namespace
{

using nlohmann::json;

/// Tries while other operators' patches come in between.
constexpr int conflict_tries = 5;

struct drain_order
{
    base::target_id target_;
    bool draining_ = true;
};

drain_order read_order(std::string const& text,
                       std::vector<config::field_error>& errors)
{
    drain_order order;
    auto const body = config::parse_json(text, errors);
    if (!errors.empty())
    {
        return order;
    }
    if (!body.is_object())
    {
        errors.push_back({"", "must be an object"});
        return order;
    }
    for (auto const& [name, value] : body.items())
    {
        if (name == "target" && value.is_string())
        {
            order.target_ = base::target_id{value.get<std::string>()};
        }
        else if (name == "draining" && value.is_boolean())
        {
            order.draining_ = value.get<bool>();
        }
        else if (name != "target" && name != "draining")
        {
            errors.push_back({config::child_pointer("", name), "is not known"});
        }
    }
    if (order.target_.empty())
    {
        errors.push_back({"/target", "must be the id of a target"});
    }
    if (!body.contains("draining") || !body.at("draining").is_boolean())
    {
        errors.push_back({"/draining", "must be true or false"});
    }
    return order;
}

std::string make_patch_id()
{
    std::ostringstream text;
    text << "drain-" << std::hex << base::entropy();
    return text.str();
}

config::target_config const* find_target(config::configuration const& in,
                                         base::target_id const& id)
{
    auto const found =
        std::find_if(in.targets_.begin(), in.targets_.end(),
                     [&](auto const& target) { return target.id_ == id; });
    return found == in.targets_.end() ? nullptr : &*found;
}

char const* refusal_text(config::submit_status status, bool draining)
{
    if (status == config::submit_status::conflict)
    {
        return "other patches kept coming in between; nothing was changed";
    }
    return draining ? "the drain would leave a workspace without any target "
                      "that is not draining; nothing was changed"
                    : "the configuration would be wrong; nothing was changed";
}

} // namespace

void drain_api::add_routes(router& to)
{
    to.add(
        "POST", "/operator/v1/drain",
        guard_.protect([this](auto const& in, auto& out) { drain(in, out); }),
        runs_on::worker);
}

void drain_api::drain(http_call const& in, http_reply& out)
{
    std::vector<config::field_error> errors;
    auto const order = read_order(in.body_, errors);
    if (!errors.empty())
    {
        answer_invalid(out, errors);
        return;
    }
    auto const submitted = submit(order.target_, order.draining_);
    if (!submitted)
    {
        answer_operator_error(out, submitted.error());
        return;
    }
    auto const& told = submitted.value();
    if (told.status_ == config::submit_status::accepted)
    {
        service_.on_accepted(told);
        answer_operator(
            out, {{"status", "accepted"},
                  {"target", order.target_.str()},
                  {"draining", order.draining_},
                  {"version", static_cast<std::uint64_t>(told.version_)}});
        return;
    }
    auto const is_conflict = told.status_ == config::submit_status::conflict;
    answer_operator(out,
                    {{"status", is_conflict ? "conflict" : "invalid"},
                     {"message", refusal_text(told.status_, order.draining_)},
                     {"version", static_cast<std::uint64_t>(told.version_)},
                     {"errors", write_errors(told.errors_)}},
                    is_conflict ? operator_status_conflict
                                : operator_status_unprocessable);
}

base::result<config::submit_answer>
drain_api::submit(base::target_id const& target, bool draining)
{
    auto told = submit_once(target, draining);
    for (int i = 1; i < conflict_tries && told &&
                    told.value().status_ == config::submit_status::conflict;
         ++i)
    {
        told = submit_once(target, draining);
    }
    return told;
}

base::result<config::submit_answer>
drain_api::submit_once(base::target_id const& target, bool draining)
{
    BOOST_OUTCOME_TRY(auto current, service_.store().read_current());
    auto const base = current.configuration_;
    auto const* found = base ? find_target(*base, target) : nullptr;
    if (found == nullptr)
    {
        return base::fail(base::error_code::not_found, "drain target", {},
                          "no target " + target.str());
    }
    if (found->draining_ == draining)
    {
        config::submit_answer unchanged;
        unchanged.status_ = config::submit_status::accepted;
        unchanged.version_ = base->version_;
        unchanged.accepted_ =
            std::make_shared<config::stored_configuration const>(
                std::move(current));
        return unchanged;
    }
    json const change{{"targets", {{target.str(), {{"draining", draining}}}}}};
    config::patch_request const request{
        base->version_,
        make_patch_id(),
        {config::patch_kind::merge, change.dump()}};
    auto told = service_.store().submit(request);
    if (!told && told.error().code_ == base::error_code::unknown_effect)
    {
        // The same id again: it settles what the first try did.
        told = service_.store().submit(request);
    }
    return told;
}

} // namespace tanagerlead::http
