#include "src/peer/envelope.hpp"

#include "src/base/serialization.hpp"
#include "src/config/digest.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace tanagerlead::peer
{

namespace
{

constexpr std::size_t tag_bytes = 16;

base::result<envelope> parse(std::string const& bytes)
{
    auto const corrupt = [](std::string detail)
    {
        return base::fail(base::error_code::corrupt, "open message", {},
                          std::move(detail));
    };
    try
    {
        std::istringstream in{bytes};
        cereal::PortableBinaryInputArchive archive{in};
        std::uint16_t version = 0;
        archive(version);
        if (version != protocol_version)
        {
            return corrupt("version " + std::to_string(version));
        }
        envelope message;
        archive(message.kind_, message.sender_, message.origin_);
        auto const start = in.tellg();
        if (start < 0)
        {
            return corrupt("truncated");
        }
        message.payload_ = bytes.substr(static_cast<std::size_t>(start));
        return message;
    }
    catch (std::exception const& problem)
    {
        return corrupt(problem.what());
    }
}

} // namespace

std::string seal(std::string const& secret, envelope const& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive{out};
        archive(protocol_version, message.kind_, message.sender_,
                message.origin_);
    }
    auto bytes = std::move(out).str() + message.payload_;
    bytes += authentication_tag(secret, bytes);
    return bytes;
}

base::result<envelope> open(std::string const& secret, std::string const& bytes)
{
    if (bytes.size() < tag_bytes)
    {
        return base::fail(base::error_code::corrupt, "open message", {},
                          "shorter than its tag");
    }
    auto const content = bytes.substr(0, bytes.size() - tag_bytes);
    auto const tag = bytes.substr(content.size());
    if (!config::equal_in_constant_time(tag,
                                        authentication_tag(secret, content)))
    {
        return base::fail(base::error_code::permission_denied, "open message",
                          {}, "wrong tag");
    }
    return parse(content);
}

} // namespace tanagerlead::peer
