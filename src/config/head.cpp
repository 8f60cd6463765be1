#include "src/config/head.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::config
{

using nlohmann::json;

std::string encode_head(head const& from)
{
    auto sections = json::array();
    for (auto const& each : from.sections_)
    {
        sections.push_back({{"section", each.section_},
                            {"page", each.page_},
                            {"key", each.key_},
                            {"sha256", each.sha256_}});
    }
    return json{{"version", static_cast<std::uint64_t>(from.version_)},
                {"patch_id", from.patch_id_},
                {"patch_sha256", from.patch_sha256_},
                {"sections", sections}}
        .dump();
}

base::result<head> decode_head(std::string_view text)
try
{
    auto const document = json::parse(text);
    head out;
    out.version_ =
        base::config_version{document.at("version").get<std::uint64_t>()};
    document.at("patch_id").get_to(out.patch_id_);
    document.at("patch_sha256").get_to(out.patch_sha256_);
    for (auto const& each : document.at("sections"))
    {
        out.sections_.push_back({each.at("section").get<std::string>(),
                                 each.at("page").get<int>(),
                                 each.at("key").get<std::string>(),
                                 each.at("sha256").get<std::string>()});
    }
    return out;
}
catch (json::exception const& problem)
{
    return base::fail(base::error_code::corrupt, "decode head", {},
                      problem.what());
}

} // namespace tanagerlead::config
