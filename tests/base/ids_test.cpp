#include "src/base/address.hpp"
#include "src/base/ids.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;

TEST_GROUP(ids){};

TEST(ids, request_id_survives_its_text)
{
    base::request_id const id{0x0123456789abcdefU, 42};
    base::request_id read;
    CHECK(base::parse_request_id(id.str(), read));
    CHECK(read == id);
}

TEST(ids, request_id_refuses_other_text)
{
    base::request_id read;
    CHECK_FALSE(base::parse_request_id("", read));
    CHECK_FALSE(base::parse_request_id(std::string(32, 'x'), read));
    CHECK_FALSE(base::parse_request_id(std::string(33, '0'), read));
}

TEST_GROUP(address){};

TEST(address, reads_ip_and_port)
{
    auto const parsed = base::parse_address("10.1.2.3:65535");
    CHECK(parsed.has_value());
    CHECK_EQUAL(65535, parsed.value().port_);
    STRCMP_EQUAL("10.1.2.3:65535", parsed.value().str().c_str());
}

TEST(address, refuses_names_and_bad_ports)
{
    for (auto const* text :
         {"localhost:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:70000", "1.2.3:1"})
    {
        auto const parsed = base::parse_address(text);
        CHECK_TEXT(!parsed.has_value(), text);
        CHECK(parsed.error().code_ == base::error_code::invalid_argument);
    }
}
