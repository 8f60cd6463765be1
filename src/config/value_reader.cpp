#include "src/config/value_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tanagerlead::config
{

namespace
{
constexpr std::size_t longest_id = 128;
constexpr std::size_t sha256_digits = 64;

bool is_graphic(unsigned char c)
{
    // Bytes above ASCII belong to UTF-8, which the parser has checked.
    return c > ' ' && c != 0x7f;
}

bool is_lower_hex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}
} // namespace

std::string why_not_id(std::string const& text)
{
    if (text.empty() || text.size() > longest_id)
    {
        return "must have 1 to 128 characters";
    }
    if (!std::all_of(text.begin(), text.end(), is_graphic))
    {
        return "must have no spaces and no control characters";
    }
    return {};
}

void value_reader::fail(std::string message) const
{
    errors_.push_back({pointer_, std::move(message)});
}

bool value_reader::boolean() const
{
    if (!value_.is_boolean())
    {
        fail("must be true or false");
        return false;
    }
    return value_.get<bool>();
}

std::int64_t value_reader::integer(integer_range range) const
{
    auto const fits = value_.is_number_integer() &&
                      !(value_.is_number_unsigned() &&
                        value_.get<std::uint64_t>() >
                            static_cast<std::uint64_t>(range.most_));
    if (!fits || value_.get<std::int64_t>() < range.least_)
    {
        fail("must be a whole number from " + std::to_string(range.least_) +
             " to " + std::to_string(range.most_));
        return range.least_;
    }
    return value_.get<std::int64_t>();
}

double value_reader::positive_number(double most) const
{
    if (!value_.is_number() || !(value_.get<double>() > 0) ||
        value_.get<double>() > most)
    {
        fail("must be a number greater than 0 and at most " +
             std::to_string(static_cast<std::int64_t>(most)));
        return 1;
    }
    return value_.get<double>();
}

std::string value_reader::text() const
{
    if (!value_.is_string())
    {
        fail("must be a string");
        return {};
    }
    return value_.get<std::string>();
}

std::string value_reader::id() const
{
    auto out = text();
    if (value_.is_string())
    {
        if (auto why = why_not_id(out); !why.empty())
        {
            fail(std::move(why));
        }
    }
    return out;
}

std::string value_reader::sha256() const
{
    auto out = text();
    if (value_.is_string() &&
        (out.size() != sha256_digits ||
         !std::all_of(out.begin(), out.end(), is_lower_hex)))
    {
        fail("must be a SHA-256 in 64 lower-case hexadecimal digits");
    }
    return out;
}

base::address value_reader::address() const
{
    auto const written = text();
    if (!value_.is_string())
    {
        return {};
    }
    auto parsed = base::parse_address(written);
    if (!parsed)
    {
        fail("must be an address \"ip:port\"");
        return {};
    }
    return std::move(parsed.value());
}

std::vector<value_reader> value_reader::elements() const
{
    std::vector<value_reader> out;
    if (!value_.is_array())
    {
        fail("must be an array");
        return out;
    }
    for (std::size_t i = 0; i < value_.size(); ++i)
    {
        out.push_back(child(std::to_string(i), value_[i]));
    }
    return out;
}

value_reader value_reader::child(std::string const& step,
                                 nlohmann::json const& value) const
{
    return {value, child_pointer(pointer_, step), errors_};
}

bool value_reader::is_object() const
{
    if (!value_.is_object())
    {
        fail("must be an object");
        return false;
    }
    return true;
}

} // namespace tanagerlead::config
