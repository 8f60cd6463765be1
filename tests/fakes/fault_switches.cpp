#include "tests/fakes/fault_switches.hpp"

#include <nlohmann/json.hpp>

namespace tanagerlead::fakes
{

namespace
{

template <class T>
void read_member(nlohmann::json const& from, char const* name, T& to)
{
    if (auto const member = from.find(name); member != from.end())
    {
        to = member->get<T>();
    }
}

} // namespace

base::result<fault_switches> read_faults(std::string const& body,
                                         fault_switches const& present)
{
    auto faults = present;
    try
    {
        auto const json = nlohmann::json::parse(body);
        read_member(json, "crash_marker", faults.crash_marker_);
        read_member(json, "slow_factor", faults.slow_factor_);
        read_member(json, "error_status", faults.error_status_);
        read_member(json, "freeze_first_token", faults.freeze_first_token_);
        read_member(json, "silent", faults.silent_);
        read_member(json, "refuse_connections", faults.refuse_connections_);
    }
    catch (nlohmann::json::exception const& error)
    {
        return base::fail(base::error_code::invalid_argument, "read faults", {},
                          error.what());
    }
    return faults;
}

} // namespace tanagerlead::fakes
