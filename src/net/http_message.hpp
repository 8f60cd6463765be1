#pragma once

#include "src/base/units.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Event-driven network I/O with callers, targets, the store and other daemons.
/// It transports messages and makes no routing or scheduling decisions.
namespace tanagerlead::net
{

struct header_field
{
    std::string name_;
    std::string value_;
};

/// Header fields in the order of the message. Names compare without regard to
/// case.
class header_list
{
public:
    void add(std::string name, std::string value);
    /// Replaces all fields with that name.
    void set(std::string const& name, std::string value);
    void remove(std::string_view name);
    /// Value of the first field with that name; null if there is none.
    std::string const* find(std::string_view name) const;
    /// Value of the first field with that name; empty if there is none.
    std::string value(std::string_view name) const;
    std::size_t count(std::string_view name) const;

    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

private:
    std::vector<header_field> fields_;
};

struct http_request
{
    std::string method_;
    /// Path and query as sent.
    std::string target_;
    header_list headers_;
    std::string body_;
};

struct http_response
{
    int status_ = 0;
    /// Reason phrase; if empty, the standard one for the status is sent.
    std::string reason_;
    header_list headers_;
    std::string body_;
};

/// Media type of the body in lower case, without parameters; empty if it is not
/// stated.
std::string media_type(header_list const& headers);

bool header_names_equal(std::string_view a, std::string_view b);

/// Removes the hop-by-hop fields, those listed in `Connection` included, the
/// fields that frame the body, and `Expect`.
void remove_hop_by_hop_fields(header_list& headers);

/// Head and body. `Content-Length` is added if there is a body or the method
/// is POST, PUT or PATCH.
std::string to_text(http_request const& request);
/// Head and body with `Content-Length`. Without `keep_alive` the head carries
/// `Connection: close`.
std::string to_text(http_response const& response, bool keep_alive);
/// Head of an answer whose body follows in chunks, as `to_chunk` and
/// `last_chunk` write them.
std::string to_chunked_head(http_response const& head, bool keep_alive);
std::string to_chunk(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Sets `Retry-After` in seconds with three decimals, at least 0.001.
void set_retry_after(http_response& response, base::duration wait);

/// Reads `Retry-After`: seconds, which may have a fraction, or a date, which
/// counts from the `Date` field of the same message since clocks may differ.
/// Returns no value if the field is absent or malformed, or not after now.
std::optional<base::duration> read_retry_after(header_list const& headers);

/// Standard reason phrase of a status.
char const* reason_phrase(int status);

} // namespace tanagerlead::net
