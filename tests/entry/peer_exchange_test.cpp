#include "src/entry/peer_exchange.hpp"

#include <CppUTest/TestHarness.h>

using namespace tanagerlead;
using namespace tanagerlead::entry;

namespace
{

class counting_delegate final : public peer_report_delegate
{
public:
    void fill_report(routing::peer_report&, report_group,
                     base::duration) override
    {
    }
    void on_peer_report(routing::peer_ip, routing::peer_report const&,
                        routing::peer_table::report_delta const&) override
    {
    }
    void on_stream_message(routing::peer_ip,
                           routing::stream_message const&) override
    {
    }
    void on_heartbeat() override { ++heartbeats_; }
    bool has_calls() const override { return false; }
    void on_role_changed(routing::daemon_role) override {}

    int heartbeats_ = 0;
};

} // namespace

TEST_GROUP(peer_exchange)
{
    net::asio::io_context loop_;
    counting_delegate delegate_;
};

// Quotas of a daemon that hears nobody must shrink without a report.
TEST(peer_exchange, silence_of_all_daemons_is_noticed_without_a_report)
{
    settings s;
    s.callers_ = {"127.0.0.1", 0};
    peer_exchange peers{loop_, s, 1, delegate_};
    CHECK(peers.start().has_value());
    while (delegate_.heartbeats_ < 3)
    {
        loop_.run_one();
        loop_.restart();
    }
    CHECK(peers.position(net::now()) == (routing::follower_position{0, 1}));
}
