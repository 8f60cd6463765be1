#include "platform/wire_protocol.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::platform;

namespace
{

struct header_case
{
    char const* name_;
    char const* field_;
    char const* value_;
    bool accepted_;
};

constexpr header_case header_cases[] = {
    {"time left", "Tanagerlead-Deadline-Ms", "5000", true},
    {"time left is a word", "Tanagerlead-Deadline-Ms", "soon", false},
    {"time left is negative", "Tanagerlead-Deadline-Ms", "-1", false},
    {"time left is empty", "Tanagerlead-Deadline-Ms", "", false},
    {"tokens", "Tanagerlead-Token-Usage", "1460,80", true},
    {"one token count", "Tanagerlead-Token-Usage", "1460", false},
    {"negative tokens", "Tanagerlead-Token-Usage", "-5,80", false},
    {"tokens overflow", "Tanagerlead-Token-Usage", "99999999999999999999,1",
     false},
    {"last event", "Last-Event-Id", "12", true},
    {"last event is not a number", "Last-Event-Id", "12a", false},
    {"empty prompt parts", "Tanagerlead-Prompt-Prefix", ",:,", true},
};

net::header_list caller_headers()
{
    net::header_list h;
    h.add("Host", "a.example");
    h.add("Tanagerlead-Request-Id", "9c41");
    h.add("Tanagerlead-Model", "m");
    h.add("Tanagerlead-Token-Usage", "1460,80");
    h.add("Tanagerlead-Prompt-Prefix", "5c1e:800,e440:250");
    h.add("Tanagerlead-Deadline-Ms", "5000");
    h.add("X-Api-Key", "secret");
    h.add("Tanagerlead-Tenant", "forged");
    h.add("Tanagerlead-Target-Instance", "forged");
    h.add("Tanagerlead-Hold", "forged");
    h.add("Tanagerlead-Pin-Ms", "1");
    h.add("Tanagerlead-Kv-Backup", "10.0.0.1:80");
    h.add("Kv-From", "10.0.0.1:80/1");
    h.add("Kv-Fetch", "10.0.0.1:80");
    h.add("Connection", "close, X-Hop");
    h.add("X-Hop", "1");
    h.add("Content-Length", "3");
    h.add("X-Other", "kept");
    return h;
}

std::string text(net::header_list const& h, char const* name)
{
    auto const* const value = h.find(name);
    return value == nullptr ? "(none)" : *value;
}

net::http_response answer(int status,
                          std::vector<net::header_field> const& fields)
{
    net::http_response out;
    out.status_ = status;
    for (auto const& f : fields)
    {
        out.headers_.add(f.name_, f.value_);
    }
    return out;
}

} // namespace

TEST_GROUP(wire_protocol)
{
    wire_protocol protocol_;
};

TEST(wire_protocol, reads_caller_headers)
{
    auto const read = protocol_.read_request_metadata(caller_headers());
    CHECK(read.has_value());
    auto const& m = read.value();
    STRCMP_EQUAL("9c41", m.request_id_.c_str());
    STRCMP_EQUAL("secret", m.key_.c_str());
    CHECK(m.time_left_ == std::chrono::seconds{5});
    LONGS_EQUAL(1460, m.prompt_tokens_);
    LONGS_EQUAL(80, m.max_output_tokens_);
    CHECK(m.affinity_ != 0);
}

TEST(wire_protocol, rejects_malformed_fields)
{
    for (auto const& c : header_cases)
    {
        net::header_list h;
        h.add(c.field_, c.value_);
        CHECK_TEXT(protocol_.read_request_metadata(h).has_value() ==
                       c.accepted_,
                   c.name_);
    }
}

TEST(wire_protocol, reads_the_prompt_parts_that_requests_share)
{
    using routing::prompt_part;
    struct input
    {
        char const* text_;
        routing::prompt_parts parts_;
    };
    std::vector<input> const inputs{
        {"ab:9", {}},
        {"5c1e07a2:800,91bd:410,e4:250",
         {prompt_part{0x5c1e07a2}, prompt_part{0x91bd}}},
        {",:,", {}},
        {"1,2,3", {prompt_part{1}, prompt_part{2}}},
    };
    for (auto const& in : inputs)
    {
        net::header_list h;
        h.add("Tanagerlead-Prompt-Prefix", in.text_);
        CHECK_TEXT(protocol_.read_request_metadata(h).value().shared_parts_ ==
                       in.parts_,
                   in.text_);
    }
    net::header_list h;
    h.add("Tanagerlead-Prompt-Prefix", "not a number:1,ab:9");
    LONGS_EQUAL(
        1, protocol_.read_request_metadata(h).value().shared_parts_.size());
}

TEST(wire_protocol, reads_the_lengths_of_all_prompt_parts)
{
    auto const read = [this](char const* text)
    {
        net::header_list h;
        h.add("Tanagerlead-Prompt-Prefix", text);
        return protocol_.read_request_metadata(h).value().sized_parts_;
    };
    auto const parts = read("5c1e07a2:800,91bd:410");
    LONGS_EQUAL(2, parts.size());
    CHECK(parts[1].part_ == routing::prompt_part{0x91bd});
    LONGS_EQUAL(410, parts[1].tokens_);
    CHECK(read("1,2:5").empty());
    CHECK(read("1:5,2:x").empty());
    CHECK(read("1:-5").empty());
    CHECK(read(",:,").empty());
    LONGS_EQUAL(routing::max_sized_parts,
                read("1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1").size());
}

TEST(wire_protocol, derives_affinity_from_the_last_prompt_part)
{
    net::header_list a;
    a.add("Tanagerlead-Prompt-Prefix", "1:5,ab:9");
    net::header_list b;
    b.add("Tanagerlead-Prompt-Prefix", "2:7,ab:9");
    CHECK(protocol_.read_request_metadata(a).value().affinity_ ==
          protocol_.read_request_metadata(b).value().affinity_);
}

TEST(wire_protocol, reads_which_attempt_a_caller_takes_up)
{
    auto headers = caller_headers();
    STRCMP_EQUAL("", protocol_.read_request_metadata(headers)
                         .value()
                         .resumed_attempt_.c_str());
    headers.add("Resumes", "77ab");
    STRCMP_EQUAL("77ab", protocol_.read_request_metadata(headers)
                             .value()
                             .resumed_attempt_.c_str());
}

TEST(wire_protocol, replaces_system_headers_when_forwarding)
{
    entry::forward_metadata marks;
    marks.target_ = base::target_id{"i-7"};
    marks.workspace_ = base::workspace_id{"shop"};
    marks.time_left_ = std::chrono::milliseconds{1234};
    auto const h = protocol_.forward_headers(caller_headers(), marks);
    STRCMP_EQUAL("shop", text(h, "Tanagerlead-Tenant").c_str());
    STRCMP_EQUAL("i-7", text(h, "Tanagerlead-Target-Instance").c_str());
    STRCMP_EQUAL("1234", text(h, "Tanagerlead-Deadline-Ms").c_str());
    STRCMP_EQUAL("9c41", text(h, "Tanagerlead-Request-Id").c_str());
    STRCMP_EQUAL("1460,80", text(h, "Tanagerlead-Token-Usage").c_str());
    STRCMP_EQUAL("kept", text(h, "X-Other").c_str());
    for (auto const* const gone :
         {"X-Api-Key", "Tanagerlead-Hold", "Tanagerlead-Pin-Ms",
          "Tanagerlead-Kv-Backup", "Kv-From", "Kv-Fetch", "Connection", "X-Hop",
          "Content-Length", "Last-Event-Id"})
    {
        CHECK_TEXT(h.find(gone) == nullptr, gone);
    }
}

TEST(wire_protocol, omits_the_workspace_of_an_anonymous_caller)
{
    auto const h = protocol_.forward_headers(caller_headers(), {});
    CHECK(h.find("Tanagerlead-Tenant") == nullptr);
}

TEST(wire_protocol, reads_answer_headers)
{
    auto const good = protocol_.read_answer_metadata(
        answer(200, {{"Tanagerlead-Request-Id", "9c41"},
                     {"Tanagerlead-Server-Signature", "s"}}));
    CHECK(good.is_signed_ && !good.not_executed_ && !good.is_altered_);
    CHECK(protocol_
              .read_answer_metadata(
                  answer(503, {{"Tanagerlead-Not-Executed", "1"}}))
              .not_executed_);
    CHECK(!protocol_.read_answer_metadata(answer(503, {})).not_executed_);
    CHECK(protocol_.read_answer_metadata(answer(421, {})).not_executed_);
    CHECK(protocol_
              .read_answer_metadata(answer(200, {{"Content-Encoding", "gzip"}}))
              .is_altered_);
}

TEST(wire_protocol, reads_what_a_target_announces)
{
    struct input
    {
        int status_;
        net::header_field field_;
        bool is_leaving_;
        bool asks_for_pause_;
    };
    input const inputs[] = {
        {200, {"Server-Leaving", "1"}, true, false},
        {503, {"server-leaving", "1"}, true, false},
        {200, {"Server-Leaving", "0"}, false, false},
        {200, {"Server-Leaving", ""}, false, false},
        {503, {"Retry-After", "2.5"}, false, true},
        {503, {"Retry-After", "-1"}, false, false},
        {500, {"Retry-After", "2"}, false, false},
        {429, {"Retry-After", "2"}, false, false},
        {200, {"Retry-After", "2"}, false, false},
    };
    for (auto const& in : inputs)
    {
        net::http_response head;
        head.status_ = in.status_;
        head.headers_.add(in.field_.name_, in.field_.value_);
        auto const read = protocol_.read_answer_metadata(head);
        CHECK_TEXT(read.is_leaving_ == in.is_leaving_,
                   in.field_.value_.c_str());
        CHECK_TEXT(read.pause_.has_value() == in.asks_for_pause_,
                   in.field_.value_.c_str());
    }
}

TEST(wire_protocol, reads_the_limit_of_a_target)
{
    struct input
    {
        char const* value_;
        std::optional<double> limit_;
        bool is_malformed_;
    };
    input const inputs[] = {
        {"5.5", 5.5, false},
        {"6", 6.0, false},
        {"0", 0.0, false},
        {"0.25", 0.25, false},
        {"", std::nullopt, true},
        {"-1", std::nullopt, true},
        {"5,5", std::nullopt, true},
        {"nan", std::nullopt, true},
        {"inf", std::nullopt, true},
        {"5 a second", std::nullopt, true},
        {"1e999", std::nullopt, true},
    };
    for (auto const& in : inputs)
    {
        net::http_response head;
        head.status_ = 200;
        head.headers_.add("Server-Limit", in.value_);
        auto const read = protocol_.read_answer_metadata(head);
        CHECK_TEXT(read.limit_.has_value() == in.limit_.has_value(), in.value_);
        CHECK_TEXT(read.is_limit_malformed_ == in.is_malformed_, in.value_);
        if (in.limit_)
        {
            DOUBLES_EQUAL(*in.limit_, read.limit_->per_second_, 1e-9);
        }
    }
    auto const without = protocol_.read_answer_metadata({});
    CHECK(!without.limit_ && !without.is_limit_malformed_);
}

TEST(wire_protocol, reads_how_many_rejections_a_brittle_target_stands)
{
    CHECK(!protocol_.read_answer_metadata({}).max_rejections_);
    struct example
    {
        char const* value_;
        double per_second_;
    };
    for (auto const& in : {example{"12", 12},
                           {"2.5", 2.5},
                           {"0", 0},
                           {"-3", 1},
                           {"few", 1},
                           {"", 1},
                           {"inf", 1}})
    {
        net::http_response head;
        head.status_ = 200;
        head.headers_.add("Server-Brittle", in.value_);
        auto const read = protocol_.read_answer_metadata(head);
        CHECK_TEXT(read.max_rejections_.has_value(), in.value_);
        DOUBLES_EQUAL_TEXT(in.per_second_, read.max_rejections_->per_second_,
                           1e-9, in.value_);
    }
}

TEST(wire_protocol, answers_resolve_requests)
{
    auto const q = protocol_.read_directory_query(
        "/v1/resolve?Name=a.example&Region=r&Zone=plateau");
    CHECK(q.has_value());
    STRCMP_EQUAL("plateau", q->data_centre_.str().c_str());
    CHECK(!protocol_.read_directory_query("/v1/ready"));
    CHECK(protocol_.is_readiness_query("/v1/ready"));
    STRCMP_EQUAL(R"({"Addresses":["10.0.0.1:80"],"TtlS":2.0})",
                 protocol_
                     .write_directory_answer(
                         {{{"10.0.0.1", 80}}, std::chrono::seconds{2}})
                     .c_str());
}

TEST(wire_protocol, accepts_odd_resolve_queries)
{
    for (auto const* const target :
         {"/v1/resolve", "/v1/resolve?", "/v1/resolve?&&", "/v1/resolve?Zone",
          "/v1/resolve?Zone=", "/v1/resolve?=x&Zone=="})
    {
        CHECK_TEXT(protocol_.read_directory_query(target).has_value(), target);
    }
}

TEST(wire_protocol, takes_the_id_of_a_target_from_its_key)
{
    STRCMP_EQUAL("i-1", protocol_.target_id_of("servers/i-1").str().c_str());
    STRCMP_EQUAL("other", protocol_.target_id_of("other").str().c_str());
}
