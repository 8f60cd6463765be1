#include "src/config/peer_copy.hpp"

#include "src/config/digest.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace tanagerlead::config
{

namespace
{

using nlohmann::json;

constexpr char const* copy_step = "copy configuration from peer";

auto corrupt(std::string detail)
{
    return base::fail(base::error_code::corrupt, copy_step, {},
                      std::move(detail));
}

/// The page that `known` has of that content.
page const* find_known(stored_configuration const* known,
                       section_reference const& wanted)
{
    if (known == nullptr)
    {
        return nullptr;
    }
    for (std::size_t i = 0; i < known->pages_.size(); ++i)
    {
        auto const& had = known->head_.sections_[i];
        if (had.sha256_ == wanted.sha256_ && had.section_ == wanted.section_)
        {
            return &known->pages_[i];
        }
    }
    return nullptr;
}

base::result<page> take_page(section_reference const& wanted,
                             json const& brought,
                             stored_configuration const* known)
{
    page out{wanted.section_, wanted.page_, {}};
    if (auto const* had = find_known(known, wanted))
    {
        out.text_ = had->text_;
        return out;
    }
    auto const found = brought.find(wanted.sha256_);
    if (found == brought.end() || !found->is_string())
    {
        return corrupt("page " + wanted.key_ + " is missing");
    }
    out.text_ = found->get<std::string>();
    if (sha256_hex(out.text_) != wanted.sha256_)
    {
        return corrupt("page " + wanted.key_ + " is altered");
    }
    return out;
}

} // namespace

std::string encode_copy_request(stored_configuration const* known)
{
    auto have = json::array();
    if (known != nullptr)
    {
        for (auto const& each : known->head_.sections_)
        {
            have.push_back(each.sha256_);
        }
    }
    return json{{"have", have}}.dump();
}

base::result<std::string> answer_copy_request(std::string const& request,
                                              stored_configuration const& have)
{
    auto const asked = json::parse(request, nullptr, false);
    if (!asked.is_object() || !asked.contains("have") ||
        !asked.at("have").is_array())
    {
        return corrupt("malformed request");
    }
    std::set<std::string> known;
    for (auto const& each : asked.at("have"))
    {
        if (each.is_string())
        {
            known.insert(each.get<std::string>());
        }
    }
    auto pages = json::object();
    for (std::size_t i = 0; i < have.pages_.size(); ++i)
    {
        auto const& reference = have.head_.sections_[i];
        if (!known.contains(reference.sha256_))
        {
            pages[reference.sha256_] = have.pages_[i].text_;
        }
    }
    return json{{"head", encode_head(have.head_)}, {"pages", pages}}.dump();
}

base::result<stored_configuration>
decode_copy(std::string const& answer, stored_configuration const* known)
{
    auto const brought = json::parse(answer, nullptr, false);
    if (!brought.is_object() || !brought.contains("head") ||
        !brought.at("head").is_string() || !brought.contains("pages") ||
        !brought.at("pages").is_object())
    {
        return corrupt("malformed answer");
    }
    BOOST_OUTCOME_TRY(auto told,
                      decode_head(brought.at("head").get<std::string>()));
    stored_configuration out;
    for (auto const& wanted : told.sections_)
    {
        BOOST_OUTCOME_TRY(auto taken,
                          take_page(wanted, brought.at("pages"), known));
        out.pages_.push_back(std::move(taken));
    }
    BOOST_OUTCOME_TRY(auto joined, join_pages(out.pages_, told.version_));
    out.configuration_ =
        std::make_shared<configuration const>(std::move(joined));
    out.head_ = std::move(told);
    return out;
}

} // namespace tanagerlead::config
