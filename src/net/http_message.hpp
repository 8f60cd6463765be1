#pragma once

#include "src/base/units.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Event-driven connections: callers, targets, the store and other daemons.
/// Moves bytes and decides nothing.
namespace tanagerlead::net
{

struct header_field
{
    std::string name_;
    std::string value_;
};

/// Header fields in their order. Names compare without regard to case.
class header_list
{
public:
    void add(std::string name, std::string value);
    /// Replaces all fields of that name.
    void set(std::string const& name, std::string value);
    void remove(std::string_view name);
    /// The first of that name; null when there is none.
    std::string const* find(std::string_view name) const;
    /// The first of that name; empty when there is none.
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
    std::string reason_;
    header_list headers_;
    std::string body_;
};

bool header_names_equal(std::string_view a, std::string_view b);

/// Drops the fields that concern one connection only, those that `Connection`
/// names included, and the framing of the body.
void remove_hop_by_hop_fields(header_list& headers);

/// Head and body; the length is added when there is a body or the method has
/// one.
std::string to_text(http_request const& request);
/// Head and body with their length.
std::string to_text(http_response const& response, bool keep_alive);
/// Head of an answer whose body follows in chunks.
std::string to_chunked_head(http_response const& head, bool keep_alive);
std::string to_chunk(std::string_view bytes);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// When the caller may come back; seconds with three decimals.
void set_retry_after(http_response& response, base::duration wait);

/// The usual phrase for a status.
char const* reason_phrase(int status);

} // namespace tanagerlead::net
