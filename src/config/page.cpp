#include "src/config/page.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace tanagerlead::config
{

namespace
{

using nlohmann::json;

constexpr std::size_t shrink_factor = 4;

int pages_of(std::vector<page> const& present, std::string const& section)
{
    auto const count = std::count_if(present.begin(), present.end(),
                                     [&](page const& each)
                                     { return each.section_ == section; });
    return std::max(1, static_cast<int>(count));
}

std::size_t page_of(std::string const& id, std::size_t count)
{
    return XXH3_64bits(id.data(), id.size()) & (count - 1);
}

void split_section(std::string const& name, json const& section, int present,
                   std::vector<page>& out)
{
    auto const count =
        static_cast<std::size_t>(page_count(section.dump().size(), present));
    std::vector<json> parts(count, json::object());
    for (auto const& [id, entry] : section.items())
    {
        parts[page_of(id, count)][id] = entry;
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        out.push_back({name, static_cast<int>(i), parts[i].dump()});
    }
}

} // namespace

int page_count(std::size_t bytes, int present)
{
    auto count = static_cast<std::size_t>(std::max(1, present));
    while (bytes / count > 2 * page_bytes)
    {
        count *= 2;
    }
    while (count > 1 && bytes / count < page_bytes / shrink_factor)
    {
        count /= 2;
    }
    return static_cast<int>(count);
}

std::vector<page> split_into_pages(configuration const& from,
                                   std::vector<page> const& present)
{
    std::vector<page> out;
    auto const document = write_configuration(from);
    for (auto const& [name, section] : document.items())
    {
        split_section(name, section, pages_of(present, name), out);
    }
    return out;
}

base::result<configuration> join_pages(std::vector<page> const& pages,
                                       base::config_version version)
{
    constexpr char const* step = "join configuration pages";
    auto document = json::object();
    for (auto const& each : pages)
    {
        auto const part = json::parse(each.text_, nullptr, false);
        if (!part.is_object())
        {
            return base::fail(base::error_code::corrupt, step, each.section_,
                              "page is no JSON object");
        }
        auto& section = document[each.section_];
        section = section.is_null() ? json::object() : std::move(section);
        section.update(part);
    }
    auto checked = read_configuration(document, version);
    if (!checked.ok())
    {
        return base::fail(base::error_code::corrupt, step, {},
                          checked.errors_.front().str());
    }
    return std::move(checked.configuration_);
}

} // namespace tanagerlead::config
