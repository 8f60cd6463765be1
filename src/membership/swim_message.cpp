#include "src/membership/swim_message.hpp"

#include "src/base/serialization.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <xxhash.h>

#include <sstream>

namespace tanagerlead::membership
{

template <class Archive>
void serialize(Archive& archive, member& m)
{
    archive(m.daemon_, m.host_, m.data_centre_, m.peer_address_,
            m.http_address_, m.incarnation_, m.origin_, m.state_,
            m.config_version_);
}

template <class Archive>
void serialize(Archive& archive, swim_message& m)
{
    archive(m.kind_, m.sequence_, m.sender_, m.subject_, m.digest_);
    base::serialize_list(archive, m.updates_, swim_message::most_updates);
}

namespace
{
bool in_range(member const& m)
{
    return m.state_ <= member_state::dead;
}

bool in_range(swim_message const& message)
{
    if (message.kind_ > swim_kind::state || !in_range(message.sender_))
    {
        return false;
    }
    for (auto const& update : message.updates_)
    {
        if (!in_range(update))
        {
            return false;
        }
    }
    return true;
}
} // namespace

std::size_t digest_bucket(base::daemon_id const& daemon)
{
    auto const& name = daemon.str();
    return XXH3_64bits(name.data(), name.size()) % digest_buckets;
}

void add_to_digest(list_digest& digest, member const& m)
{
    auto const& name = m.daemon_.str();
    auto hash = XXH3_64bits(name.data(), name.size());
    hash ^= static_cast<std::uint64_t>(m.incarnation_);
    hash = XXH64(&hash, sizeof hash, static_cast<std::uint64_t>(m.state_));
    auto& sum = digest[digest_bucket(m.daemon_)];
    sum = static_cast<std::uint16_t>(sum + hash);
}

std::string encode(swim_message const& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive{out};
        archive(message);
    }
    return std::move(out).str();
}

base::result<swim_message> decode_swim_message(std::string const& bytes)
{
    auto const corrupt = [](std::string detail)
    {
        return base::fail(base::error_code::corrupt, "decode membership", {},
                          std::move(detail));
    };
    try
    {
        std::istringstream in{bytes};
        cereal::PortableBinaryInputArchive archive{in};
        swim_message message;
        archive(message);
        if (in.peek() != std::istringstream::traits_type::eof())
        {
            return corrupt("trailing bytes");
        }
        if (!in_range(message))
        {
            return corrupt("value out of range");
        }
        return message;
    }
    catch (std::exception const& problem)
    {
        return corrupt(problem.what());
    }
}

} // namespace tanagerlead::membership
