#include "src/base/random.hpp"
#include "src/peer/envelope.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::peer;

namespace
{
constexpr char const* secret = "shared by the daemons";
}

TEST_GROUP(envelope)
{
    envelope message_{message_kind::scheduling, base::daemon_id{"d1"}, 77,
                      std::string("payload\0with zero", 17)};
};

TEST(envelope, survives_sealing)
{
    auto const opened = open(secret, seal(secret, message_));
    CHECK(opened.has_value());
    CHECK(opened.value().kind_ == message_.kind_);
    CHECK(opened.value().sender_ == message_.sender_);
    CHECK(opened.value().origin_ == message_.origin_);
    CHECK(opened.value().payload_ == message_.payload_);
}

TEST(envelope, another_secret_is_forged)
{
    auto const opened = open("guess", seal(secret, message_));
    CHECK(opened.error().code_ == base::error_code::permission_denied);
}

TEST(envelope, any_changed_byte_is_refused)
{
    auto const good = seal(secret, message_);
    for (std::size_t i = 0; i < good.size(); ++i)
    {
        auto damaged = good;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        CHECK_FALSE(open(secret, damaged).has_value());
        CHECK_FALSE(open(secret, good.substr(0, i)).has_value());
    }
}

TEST(envelope, sealed_noise_is_corrupt)
{
    base::random_source random{1};
    for (int round = 0; round < 5000; ++round)
    {
        std::string noise(random.below(40), '\0');
        for (auto& byte : noise)
        {
            byte = static_cast<char>(random());
        }
        auto const opened =
            open(secret, noise + authentication_tag(secret, noise));
        CHECK(opened.has_value() ||
              opened.error().code_ == base::error_code::corrupt);
    }
}

TEST(envelope, another_version_is_corrupt)
{
    auto bytes = seal(secret, message_);
    bytes.resize(bytes.size() - 16);
    // After the archive's byte for its endianness comes the version.
    bytes[1] = static_cast<char>(protocol_version + 1);
    auto const opened = open(secret, bytes + authentication_tag(secret, bytes));
    CHECK(opened.error().code_ == base::error_code::corrupt);
}
