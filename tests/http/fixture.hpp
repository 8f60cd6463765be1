#pragma once

#include "src/http/caller_api.hpp"
#include "src/http/server.hpp"
#include "tests/http/fakes.hpp"

namespace tanagerlead::test
{

constexpr std::uint64_t own_origin = 0x1111;
constexpr char const* brest_key = "brest-secret";
constexpr char const* dakar_key = "dakar-secret";

inline config::configuration two_workspaces()
{
    config::configuration configuration;
    configuration.version_ = config::configuration{}.version_;
    base::pool_id const model{"report"};
    base::pool_id const service{"till"};
    configuration.pools_ = {
        {model, config::pool_kind::model},
        {service, config::pool_kind::service},
        {base::pool_id{"quotes"}, config::pool_kind::model}};
    config::workspace_config brest;
    brest.id_ = base::workspace_id{"brest"};
    brest.key_hashes_ = {config::sha256_hex(brest_key)};
    brest.pools_ = {model, service};
    auto dakar = brest;
    dakar.id_ = base::workspace_id{"dakar"};
    dakar.tier_ = base::tier{1};
    dakar.key_hashes_ = {config::sha256_hex(dakar_key)};
    configuration.workspaces_ = {brest, dakar};
    return configuration;
}

/// A caller API on a loopback port with everything around it faked.
class api_fixture
{
public:
    explicit api_fixture(
        http::caller_api_settings const& settings = quick_settings())
        : server_{{{"127.0.0.1", 0}}}, api_{settings,
                                            {dispatcher_, entries_, source_,
                                             claims_, clock_, server_.loop()}}
    {
        source_.set(two_workspaces());
        entries_.add(base::daemon_id{"own"}, own_origin, {"127.0.0.1", 1});
        entries_.add(base::daemon_id{"other"}, 0x2222, {"127.0.0.1", 2});
        api_.add_routes(server_.routes());
        target_.start();
        server_.start().value();
        dispatcher_.answer_with({grant()});
    }

    ~api_fixture()
    {
        api_.stop();
        server_.stop();
    }

    static http::caller_api_settings quick_settings()
    {
        http::caller_api_settings settings;
        settings.daemon_ = base::daemon_id{"own"};
        settings.origin_ = own_origin;
        settings.target_.resume_pause_ = std::chrono::milliseconds{1};
        settings.target_.most_resumes_ = 3;
        return settings;
    }

    request::decision grant() const
    {
        return request::dispatch_to{base::target_id{"t1"}, target_.address()};
    }

    httplib::Client client() const
    {
        auto const address = server_.local_address();
        httplib::Client result{address.ip_, address.port_};
        result.set_read_timeout(long_enough);
        return result;
    }

    httplib::Result post(std::string const& path, std::string const& body,
                         httplib::Headers headers = {},
                         char const* key = brest_key) const
    {
        headers.emplace("Authorization", std::string{"Bearer "} + key);
        return client().Post(path, headers, body, "application/json");
    }

    httplib::Result get(std::string const& path, httplib::Headers headers = {},
                        char const* key = brest_key) const
    {
        headers.emplace("Authorization", std::string{"Bearer "} + key);
        return client().Get(path, headers);
    }

    scripted_dispatcher dispatcher_;
    fixed_entries entries_;
    fixed_source source_;
    memory_claims claims_;
    base::steady_clock clock_;
    scripted_target target_;
    http::server server_;
    http::caller_api api_;
};

constexpr char const* chat_path = "/v1/chat/completions";
constexpr char const* chat_body =
    R"({"model":"report","messages":[{"role":"user","content":"a b c"}]})";
constexpr char const* stream_body =
    R"({"model":"report","stream":true,)"
    R"("messages":[{"role":"user","content":"a b c"}]})";

} // namespace tanagerlead::test
