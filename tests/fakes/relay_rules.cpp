#include "tests/fakes/relay_rules.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace tanagerlead::fakes
{

namespace
{

constexpr std::array action_names{"cut", "silence", "delay", "restore"};
constexpr std::array direction_names{"both", "forward", "back"};

template <class Enum, std::size_t Size>
bool parse(std::string const& text, std::array<char const*, Size> const& names,
           Enum& to)
{
    auto const found = std::find(names.begin(), names.end(), text);
    if (found == names.end())
    {
        return false;
    }
    to = static_cast<Enum>(found - names.begin());
    return true;
}

} // namespace

base::result<relay_order> read_relay_order(std::string const& body)
{
    auto const wrong = [](std::string detail)
    {
        return base::fail(base::error_code::invalid_argument,
                          "read relay order", {}, std::move(detail));
    };
    relay_order order;
    try
    {
        auto const json = nlohmann::json::parse(body);
        if (!parse(json.at("action").get<std::string>(), action_names,
                   order.action_) ||
            !parse(json.value("direction", "both"), direction_names,
                   order.direction_))
        {
            return wrong("unknown action or direction");
        }
        order.all_ = json.value("scope", "existing") == "all";
        order.delay_ = base::from_seconds(json.value("delay_ms", 0.0) / 1e3);
    }
    catch (nlohmann::json::exception const& error)
    {
        return wrong(error.what());
    }
    return order;
}

} // namespace tanagerlead::fakes
