#include "src/entry/settings.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::entry
{

namespace
{

using json = nlohmann::json;

/// Reads the fields of a JSON object and records the first problem.
class field_reader
{
public:
    explicit field_reader(json const& object) : object_{object} {}

    std::string text(char const* name)
    {
        auto const* const value = find(name, &json::is_string, "text");
        return value == nullptr ? std::string{} : value->get<std::string>();
    }

    base::address address(char const* name)
    {
        auto const parsed = base::parse_address(text(name));
        if (!parsed)
        {
            set_problem(name, "is not an address of the form ip:port");
            return {};
        }
        return parsed.value();
    }

    double number(char const* name, double min, double max)
    {
        auto const* const value = find(name, &json::is_number, "a number");
        if (value == nullptr)
        {
            return min;
        }
        auto const n = value->get<double>();
        if (n < min || n > max)
        {
            set_problem(name, "is out of range");
            return min;
        }
        return n;
    }

    std::vector<base::address> addresses(char const* name)
    {
        std::vector<base::address> out;
        auto const* const value = find(name, &json::is_array, "a list");
        if (value == nullptr)
        {
            return out;
        }
        for (auto const& entry : *value)
        {
            auto parsed = entry.is_string()
                              ? base::parse_address(entry.get<std::string>())
                              : base::parse_address("");
            if (!parsed)
            {
                set_problem(
                    name,
                    "contains an element that is not of the form ip:port");
                return out;
            }
            out.push_back(std::move(parsed).value());
        }
        return out;
    }

    std::string const& problem() const { return problem_; }

    /// False if the field is absent.
    bool flag_or_false(char const* name)
    {
        auto const found = object_.find(name);
        if (found == object_.end())
        {
            return false;
        }
        if (!found->is_boolean())
        {
            set_problem(name, "is not true or false");
            return false;
        }
        return found->get<bool>();
    }

private:
    json const* find(char const* name, bool (json::*is_kind)() const noexcept,
                     char const* kind)
    {
        auto const found = object_.find(name);
        if (found == object_.end())
        {
            set_problem(name, "is missing");
            return nullptr;
        }
        if (!((*found).*is_kind)())
        {
            set_problem(name, std::string{"is not "} + kind);
            return nullptr;
        }
        return &*found;
    }

    void set_problem(char const* name, std::string const& what)
    {
        if (problem_.empty())
        {
            problem_ = std::string{"/"} + name + " " + what;
        }
    }

    json const& object_;
    std::string problem_;
};

constexpr double max_port = 65535;
constexpr double max_descriptors = 1 << 20;
constexpr double max_seconds = 3600;

auto fail(std::string detail)
{
    return base::fail(base::error_code::invalid_argument, "read settings", "",
                      std::move(detail));
}

} // namespace

base::result<settings> read_settings(std::string_view text)
{
    auto const document = json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return fail("settings are not a JSON object");
    }
    field_reader r{document};
    settings s;
    s.daemon_ = base::daemon_id{r.text("daemon")};
    s.data_centre_ = base::data_centre_id{r.text("data_centre")};
    s.callers_ = r.address("callers");
    s.health_ = r.address("health");
    s.directory_ = r.address("directory");
    s.peers_ = r.address("peers");
    s.report_port_ =
        static_cast<std::uint16_t>(r.number("report_port", 1, max_port));
    s.metrics_port_ =
        static_cast<std::uint16_t>(r.number("metrics_port", 1, max_port));
    s.seeds_ = r.addresses("seeds");
    s.store_ = r.address("store");
    s.max_descriptors_ = static_cast<std::size_t>(
        r.number("most_descriptors", 64, max_descriptors));
    s.grace_period_ =
        base::from_seconds(r.number("grace_seconds", 0, max_seconds));
    s.retry_ratio_ = r.number("retry_ratio", 0, 1);
    s.retry_slack_ = r.number("retry_slack", 0, 1e9);
    s.retry_window_ =
        base::from_seconds(r.number("retry_window_seconds", 1, max_seconds));
    s.quota_slack_ = r.number("quota_slack", 0, 1e12);
    s.weighs_kept_prompts_ = r.flag_or_false("weigh_kept_prompts");
    s.shares_target_outages_ = r.flag_or_false("share_target_outages");
    if (!r.problem().empty())
    {
        return fail(r.problem());
    }
    return s;
}

} // namespace tanagerlead::entry
