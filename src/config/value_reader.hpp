#pragma once

#include "src/base/address.hpp"
#include "src/config/field_error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerlead::config
{

/// Inclusive.
struct integer_range
{
    std::int64_t least_ = 0;
    std::int64_t most_ = 0;
};

/// One JSON value and where it stands. Whatever is wrong is noted under its
/// pointer, and a harmless value is returned.
class value_reader
{
public:
    value_reader(nlohmann::json const& value, std::string pointer,
                 std::vector<field_error>& errors)
        : value_{value}, pointer_{std::move(pointer)}, errors_{errors}
    {
    }

    nlohmann::json const& value() const { return value_; }
    std::string const& pointer() const { return pointer_; }

    void fail(std::string message) const;

    bool boolean() const;
    std::int64_t integer(integer_range range) const;
    /// Greater than zero and at most `most`.
    double positive_number(double most) const;
    std::string text() const;
    /// 1 to 128 printable characters without spaces.
    std::string id() const;
    /// A SHA-256 in 64 lower-case hexadecimal digits.
    std::string sha256() const;
    base::address address() const;
    /// One reader an element; none when it is no array.
    std::vector<value_reader> elements() const;

    value_reader child(std::string const& step,
                       nlohmann::json const& value) const;
    bool is_object() const;

private:
    nlohmann::json const& value_;
    std::string pointer_;
    std::vector<field_error>& errors_;
};

/// Why `text` cannot be an id; empty when it can.
std::string why_not_id(std::string const& text);

} // namespace tanagerlead::config
