#pragma once

#include "src/http/call.hpp"

namespace tanagerlead::http
{

/// Where a handler runs.
enum class runs_on : std::uint8_t
{
    /// The server's loop; the handler never blocks.
    loop,
    /// A thread of its own, for handlers that wait for the store.
    worker,
};

/// Finds the handler of a request by method and path.
class router
{
public:
    using handler = std::function<void(http_call const&, http_reply&)>;

    struct route
    {
        std::string method_;
        /// Parts of the path; "{}" takes any one, "**" at the end any rest.
        std::vector<std::string> pattern_;
        handler serve_;
        runs_on where_ = runs_on::loop;
    };

    /// `pattern` as "/v1/requests/{}/stream" or "/v1/services/{}/**".
    void add(std::string method, std::string_view pattern, handler serve,
             runs_on where = runs_on::loop);

    /// Null when there is none; else `call` has its captures. HEAD goes where
    /// GET goes. The first route that was added wins.
    route const* find(http_call& call) const;

private:
    std::vector<route> routes_;
};

} // namespace tanagerlead::http
