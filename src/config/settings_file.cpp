#include "src/config/settings_file.hpp"

#include "src/config/field_table.hpp"
#include "src/config/json_text.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace tanagerlead::config
{

namespace
{

using nlohmann::json;

constexpr integer_range threads_range{2, 65'536};

struct level_name
{
    char const* name_;
    base::log_level level_;
};

constexpr level_name level_names[] = {
    {"debug", base::log_level::debug},
    {"info", base::log_level::info},
    {"warning", base::log_level::warning},
    {"error", base::log_level::error},
};

struct layout_name
{
    char const* name_;
    base::log_layout layout_;
};

constexpr layout_name layout_names[] = {
    {"text", base::log_layout::text},
    {"json_lines", base::log_layout::json_lines},
};

void read_level(value_reader const& from, base::log_settings& into)
{
    auto const text = from.text();
    auto const* const found = std::find_if(
        std::begin(level_names), std::end(level_names),
        [&](level_name const& each) { return text == each.name_; });
    if (found == std::end(level_names))
    {
        from.fail("must be debug, info, warning or error");
        return;
    }
    into.level_ = found->level_;
}

void read_layout(value_reader const& from, base::log_settings& into)
{
    auto const text = from.text();
    auto const* const found = std::find_if(
        std::begin(layout_names), std::end(layout_names),
        [&](layout_name const& each) { return text == each.name_; });
    if (found == std::end(layout_names))
    {
        from.fail("must be text or json_lines");
        return;
    }
    into.layout_ = found->layout_;
}

constexpr field<base::log_settings> log_fields[] = {
    {"level", presence::optional, read_level, nullptr},
    {"layout", presence::optional, read_layout, nullptr},
};

void read_addresses(value_reader const& from, std::vector<base::address>& into)
{
    for (auto const& element : from.elements())
    {
        auto address = element.address();
        if (std::find(into.begin(), into.end(), address) != into.end())
        {
            element.fail("stands twice");
        }
        into.push_back(std::move(address));
    }
}

constexpr field<settings> settings_fields[] = {
    {"daemon", presence::required,
     [](value_reader const& from, settings& into)
     { into.daemon_ = base::daemon_id{from.id()}; },
     nullptr},
    {"host", presence::required,
     [](value_reader const& from, settings& into)
     { into.host_ = base::host_id{from.id()}; },
     nullptr},
    {"data_centre", presence::required,
     [](value_reader const& from, settings& into)
     { into.data_centre_ = base::data_centre_id{from.id()}; },
     nullptr},
    {"http", presence::optional,
     [](value_reader const& from, settings& into)
     { into.http_ = from.address(); },
     nullptr},
    {"peer", presence::optional,
     [](value_reader const& from, settings& into)
     { into.peer_ = from.address(); },
     nullptr},
    {"key_value", presence::optional,
     [](value_reader const& from, settings& into)
     { read_addresses(from, into.key_value_); },
     nullptr},
    {"host_list", presence::optional,
     [](value_reader const& from, settings& into)
     { read_addresses(from, into.host_list_); },
     nullptr},
    {"seeds", presence::optional,
     [](value_reader const& from, settings& into)
     { read_addresses(from, into.seeds_); },
     nullptr},
    {"policy", presence::optional,
     [](value_reader const& from, settings& into) { into.policy_ = from.id(); },
     nullptr},
    {"operator_key_hash", presence::optional,
     [](value_reader const& from, settings& into)
     { into.operator_key_hash_ = from.sha256(); },
     nullptr},
    {"peer_secret", presence::optional,
     [](value_reader const& from, settings& into)
     { into.peer_secret_ = from.text(); },
     nullptr},
    {"caller_threads", presence::optional,
     [](value_reader const& from, settings& into)
     { into.caller_threads_ = static_cast<int>(from.integer(threads_range)); },
     nullptr},
    {"log", presence::optional,
     [](value_reader const& from, settings& into)
     {
         read_fields(from,
                     std::span<field<base::log_settings> const>{log_fields},
                     into.log_);
     },
     nullptr},
};

} // namespace

checked_settings parse_settings(std::string_view text)
{
    checked_settings out;
    auto const document = parse_json(text, out.errors_);
    if (out.errors_.empty())
    {
        read_fields({document, "", out.errors_},
                    std::span<field<settings> const>{settings_fields},
                    out.settings_);
    }
    return out;
}

checked_settings read_settings_file(std::string const& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
    {
        checked_settings out;
        out.errors_.push_back({"", "cannot read " + path});
        return out;
    }
    return parse_settings(text.str());
}

} // namespace tanagerlead::config
