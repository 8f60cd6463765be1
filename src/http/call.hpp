#pragma once

#include "src/net/http_message.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlead::net
{
class caller_connection;
}

namespace tanagerlead::http
{

/// One request as a handler gets it.
struct http_call
{
    std::string method_;
    /// Path and query as the caller wrote them.
    std::string target_;
    net::header_list headers_;
    std::string body_;
    /// Decoded parts of the path that the route leaves open, in order.
    std::vector<std::string> captures_;

    /// Decoded value of a parameter of the query.
    std::optional<std::string> parameter(std::string_view name) const;
};

/// What a handler answers.
class http_reply
{
public:
    using connection_ptr = std::shared_ptr<net::caller_connection>;
    /// Gives the answer, now or later, on the server's loop.
    using delivery = std::function<void(connection_ptr const&)>;

    void set_status(int status) { response_.status_ = status; }
    int status() const { return response_.status_; }
    void set_header(std::string const& name, std::string value);
    void add_header(std::string name, std::string value);
    void set_content(std::string body, std::string const& type);
    /// The answer is not this reply but what `begin` sends.
    void deliver_by(delivery begin) { delivery_ = std::move(begin); }

    net::http_response const& response() const { return response_; }
    delivery const& delivered_by() const { return delivery_; }

private:
    net::http_response response_{200, {}, {}, {}};
    delivery delivery_;
};

} // namespace tanagerlead::http
