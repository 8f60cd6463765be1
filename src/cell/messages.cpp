#include "src/cell/messages.hpp"

#include "src/cell/wire.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace tanagerlead::cell
{

namespace
{
/// Upper bound on one message inside a payload.
constexpr std::size_t most_message_bytes = 4096;
/// Archive header and count of a payload, and the length before each message.
constexpr std::size_t payload_overhead_bytes = 3;
constexpr std::size_t message_overhead_bytes = 2;

void cut_to_bounds(message& m)
{
    auto* update = std::get_if<request_update>(&m);
    if (update == nullptr || !update->item_)
    {
        return;
    }
    // The leading blocks say the most about which cache to use.
    auto& prefix = update->item_->prefix_;
    prefix.resize(std::min(prefix.size(), message_limits::most_prefix_blocks));
}

std::string encode_one(message m, wire::context const& context)
{
    cut_to_bounds(m);
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        archive(static_cast<std::uint8_t>(m.index()));
        std::visit([&](auto& body) { wire::fields(archive, body, context); },
                   m);
    }
    return std::move(stream).str();
}

/// Empty when the message is out of its bounds.
std::string try_encode_one(message const& m, wire::context const& context)
{
    try
    {
        return encode_one(m, context);
    }
    catch (std::exception const&)
    {
        return {};
    }
}

/// Empty when it cannot be made to fit.
std::string encode_to_fit(message const& m, std::size_t most_bytes,
                          wire::context const& context)
{
    auto body = try_encode_one(m, context);
    auto const* update = std::get_if<request_update>(&m);
    if (body.size() > most_bytes && update != nullptr && update->item_)
    {
        // Without its prefix a request may miss a cache, but it is served.
        auto shorter = *update;
        shorter.item_->prefix_.clear();
        body = try_encode_one(shorter, context);
    }
    return body.size() > most_bytes ? std::string{} : body;
}

std::string pack(std::vector<std::string>& bodies)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        auto size = bodies.size();
        wire::count(archive, size, message_limits::most_messages);
        for (auto& body : bodies)
        {
            wire::text(archive, body, most_message_bytes);
        }
    }
    bodies.clear();
    return std::move(stream).str();
}

template <std::size_t... Index>
message empty_message(std::size_t kind, std::index_sequence<Index...>)
{
    wire::require(kind < sizeof...(Index));
    message made;
    ((kind == Index ? void(made.emplace<Index>()) : void()), ...);
    return made;
}

message decode_one(std::string const& bytes, wire::context const& context)
{
    std::istringstream stream{bytes};
    cereal::PortableBinaryInputArchive archive{stream};
    std::uint8_t kind = 0;
    archive(kind);
    constexpr auto kinds = std::variant_size_v<message>;
    auto made = empty_message(kind, std::make_index_sequence<kinds>{});
    std::visit([&](auto& body) { wire::fields(archive, body, context); }, made);
    wire::require(stream.peek() == std::istringstream::traits_type::eof());
    return made;
}

std::vector<message> decode_all(std::string const& payload,
                                wire::context const& context)
{
    std::istringstream stream{payload};
    cereal::PortableBinaryInputArchive archive{stream};
    std::size_t size = 0;
    wire::count(archive, size, message_limits::most_messages);
    std::vector<message> messages;
    messages.reserve(size);
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i)
    {
        wire::text(archive, bytes, most_message_bytes);
        messages.push_back(decode_one(bytes, context));
    }
    wire::require(stream.peek() == std::istringstream::traits_type::eof());
    return messages;
}
} // namespace

std::vector<std::string> encode(std::vector<message> const& messages,
                                std::size_t most_bytes, base::time_point now)
{
    wire::context const context{now};
    std::vector<std::string> payloads;
    std::vector<std::string> bodies;
    auto const room =
        most_bytes - payload_overhead_bytes - message_overhead_bytes;
    auto used = payload_overhead_bytes;
    for (auto const& one : messages)
    {
        auto body = encode_to_fit(one, room, context);
        if (body.empty())
        {
            continue;
        }
        auto const needed = body.size() + message_overhead_bytes;
        if (used + needed > most_bytes ||
            bodies.size() == message_limits::most_messages)
        {
            payloads.push_back(pack(bodies));
            used = payload_overhead_bytes;
        }
        used += needed;
        bodies.push_back(std::move(body));
    }
    if (!bodies.empty())
    {
        payloads.push_back(pack(bodies));
    }
    return payloads;
}

base::result<std::vector<message>> decode(std::string const& payload,
                                          base::time_point now)
{
    try
    {
        return decode_all(payload, wire::context{now});
    }
    catch (std::exception const& problem)
    {
        return base::fail(base::error_code::corrupt, "decode scheduling", {},
                          problem.what());
    }
}

} // namespace tanagerlead::cell
