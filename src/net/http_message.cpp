#include "src/net/http_message.hpp"

// Boost.Core streams its strings without including this header.
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <limits>

namespace tanagerlead::net
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",    "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect"};

void append_fields(std::string& out, header_list const& headers)
{
    for (auto const& field : headers)
    {
        out.append(field.name_).append(": ");
        out.append(field.value_).append("\r\n");
    }
}

void append_status_line(std::string& out, http_response const& response)
{
    out.append("HTTP/1.1 ").append(std::to_string(response.status_));
    out.append(" ");
    out.append(response.reason_.empty() ? reason_phrase(response.status_)
                                        : response.reason_);
    out.append("\r\n");
}

} // namespace

bool header_names_equal(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(boost::beast::string_view{a.data(), a.size()},
                                 boost::beast::string_view{b.data(), b.size()});
}

std::string media_type(header_list const& headers)
{
    auto type = headers.value("Content-Type");
    type = type.substr(0, type.find_first_of("; \t"));
    std::transform(type.begin(), type.end(), type.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return type;
}

void header_list::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

void header_list::set(std::string const& name, std::string value)
{
    remove(name);
    add(name, std::move(value));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(fields_, [&](header_field const& f)
                  { return header_names_equal(f.name_, name); });
}

std::string const* header_list::find(std::string_view name) const
{
    auto const found =
        std::find_if(fields_.begin(), fields_.end(),
                     [&](header_field const& f)
                     { return header_names_equal(f.name_, name); });
    return found == fields_.end() ? nullptr : &found->value_;
}

std::string header_list::value(std::string_view name) const
{
    auto const* const found = find(name);
    return found == nullptr ? std::string{} : *found;
}

std::size_t header_list::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(),
                      [&](header_field const& f)
                      { return header_names_equal(f.name_, name); }));
}

void remove_hop_by_hop_fields(header_list& headers)
{
    std::vector<std::string> named;
    for (auto const& field : headers)
    {
        if (!header_names_equal(field.name_, "Connection"))
        {
            continue;
        }
        boost::beast::http::token_list const tokens{
            {field.value_.data(), field.value_.size()}};
        for (auto const& token : tokens)
        {
            named.emplace_back(token);
        }
    }
    for (auto const& name : named)
    {
        headers.remove(name);
    }
    for (auto const name : hop_by_hop_fields)
    {
        headers.remove(name);
    }
}

std::string to_text(http_request const& request)
{
    std::string out;
    out.reserve(512 + request.body_.size());
    out.append(request.method_).append(" ").append(request.target_);
    out.append(" HTTP/1.1\r\n");
    append_fields(out, request.headers_);
    auto const has_body = !request.body_.empty() || request.method_ == "POST" ||
                          request.method_ == "PUT" ||
                          request.method_ == "PATCH";
    if (has_body)
    {
        out.append("Content-Length: ")
            .append(std::to_string(request.body_.size()))
            .append("\r\n");
    }
    return out.append("\r\n").append(request.body_);
}

std::string to_text(http_response const& response, bool keep_alive)
{
    std::string out;
    out.reserve(256 + response.body_.size());
    append_status_line(out, response);
    append_fields(out, response.headers_);
    if (!keep_alive)
    {
        out.append("Connection: close\r\n");
    }
    // 204 and 304 have no body and must not carry Content-Length.
    if (response.status_ != 204 && response.status_ != 304)
    {
        out.append("Content-Length: ")
            .append(std::to_string(response.body_.size()))
            .append("\r\n");
    }
    return out.append("\r\n").append(response.body_);
}

std::string to_chunked_head(http_response const& head, bool keep_alive)
{
    std::string out;
    append_status_line(out, head);
    append_fields(out, head.headers_);
    if (!keep_alive)
    {
        out.append("Connection: close\r\n");
    }
    return out.append("Transfer-Encoding: chunked\r\n\r\n");
}

std::string to_chunk(std::string_view bytes)
{
    std::array<char, 2 * sizeof(std::size_t)> size{};
    auto const end =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16)
            .ptr;
    std::string out{size.data(), end};
    return out.append("\r\n").append(bytes).append("\r\n");
}

void set_retry_after(http_response& response, base::duration wait)
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.3f",
                        std::max(0.001, base::seconds(wait)));
    response.headers_.set("Retry-After", text.data());
}

namespace
{

/// Parses a date like `Sun, 06 Nov 1994 08:49:37 GMT`, the only format that
/// senders may generate (RFC 9110, section 5.6.7).
std::optional<std::time_t> parse_http_date(std::string const& text)
{
    std::tm parts{};
    char const* const end =
        ::strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    if (end == nullptr || *end != '\0')
    {
        return std::nullopt;
    }
    return ::timegm(&parts);
}

/// Digits with at most one decimal point, so neither a sign nor an exponent.
bool is_decimal(std::string_view text)
{
    auto const is_digit = [](char c)
    {
        return c >= '0' && c <= '9';
    };
    return std::any_of(text.begin(), text.end(), is_digit) &&
           std::count(text.begin(), text.end(), '.') <= 1 &&
           std::all_of(text.begin(), text.end(),
                       [&](char c) { return c == '.' || is_digit(c); });
}

std::optional<double> read_delay_seconds(header_list const& headers,
                                         std::string const& text)
{
    if (is_decimal(text))
    {
        double seconds = 0;
        auto const error =
            std::from_chars(text.data(), text.data() + text.size(), seconds).ec;
        return error == std::errc{} ? seconds
                                    : std::numeric_limits<double>::max();
    }
    auto const when = parse_http_date(text);
    auto const sent_at = parse_http_date(headers.value("Date"));
    if (when && sent_at)
    {
        return std::difftime(*when, *sent_at);
    }
    return std::nullopt;
}

} // namespace

std::optional<base::duration> read_retry_after(header_list const& headers)
{
    // Keeps the conversion to nanoseconds in range.
    constexpr double max_seconds = 1e9;
    auto const* const text = headers.find("Retry-After");
    auto const seconds =
        text == nullptr ? std::nullopt : read_delay_seconds(headers, *text);
    if (!seconds || *seconds <= 0)
    {
        return std::nullopt;
    }
    return base::from_seconds(std::min(*seconds, max_seconds));
}

char const* reason_phrase(int status)
{
    auto const known = boost::beast::http::int_to_status(
        static_cast<unsigned>(std::max(status, 0)));
    return boost::beast::http::obsolete_reason(known).data();
}

} // namespace tanagerlead::net
