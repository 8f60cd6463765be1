#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Strong types for identifiers.
namespace tanagerlead::base
{

/// Length-prefixed text for archives; defined in src/base/serialization.hpp.
template <class Archive>
void serialize_text(Archive& archive, std::string& text);

/// A name that cannot be mixed up with a name of another kind.
template <class Tag>
class name_id
{
public:
    name_id() = default;
    explicit name_id(std::string text) : text_{std::move(text)} {}

    std::string const& str() const { return text_; }
    bool empty() const { return text_.empty(); }

    auto operator<=>(name_id const&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        serialize_text(archive, text_);
    }

    template <class H>
    friend H AbslHashValue(H state, name_id const& id)
    {
        return H::combine(std::move(state), id.text_);
    }

private:
    std::string text_;
};

using workspace_id = name_id<struct workspace_tag>;
using target_id = name_id<struct target_tag>;
/// A model or a plain service; requests name the pool they want.
using pool_id = name_id<struct pool_tag>;
using host_id = name_id<struct host_tag>;
/// Version of the software that a target runs. Versions have no order.
using software_version = name_id<struct software_version_tag>;
using data_centre_id = name_id<struct data_centre_tag>;
/// A daemon by its configured name; stays the same across restarts.
using daemon_id = name_id<struct daemon_tag>;
/// Up to sixteen targets of one pool that one daemon schedules.
using cell_id = name_id<struct cell_tag>;

/// One life of one daemon. Larger is later for the same daemon.
enum class incarnation : std::uint64_t
{
};

/// Number of an accepted configuration; only rises.
enum class config_version : std::uint64_t
{
};

/// Request class; 0 is served first.
enum class tier : std::uint8_t
{
};

constexpr std::size_t max_tiers = 8;

constexpr std::size_t index(tier t)
{
    return static_cast<std::size_t>(t);
}

/// One submission. Unique over all daemons and their lives.
struct request_id
{
    /// Random for each life of a daemon.
    std::uint64_t origin_ = 0;
    std::uint64_t sequence_ = 0;

    auto operator<=>(request_id const&) const = default;

    /// 32 hexadecimal digits.
    std::string str() const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(origin_, sequence_);
    }

    template <class H>
    friend H AbslHashValue(H state, request_id const& id)
    {
        return H::combine(std::move(state), id.origin_, id.sequence_);
    }
};

/// Reads what `request_id::str` wrote; false when it is not that.
bool parse_request_id(std::string const& text, request_id& out);

} // namespace tanagerlead::base

template <class Tag>
struct std::hash<tanagerlead::base::name_id<Tag>>
{
    std::size_t operator()(tanagerlead::base::name_id<Tag> const& id) const
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <>
struct std::hash<tanagerlead::base::request_id>
{
    std::size_t operator()(tanagerlead::base::request_id const& id) const
    {
        return std::hash<std::uint64_t>{}(id.origin_ ^ (id.sequence_ * 31));
    }
};
