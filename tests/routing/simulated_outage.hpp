#pragma once

#include "tests/routing/fixtures.hpp"

#include <map>
#include <memory>

namespace tanagerlead::routing::testing
{

/// Daemons and targets in virtual time. A quarter of the targets refuse
/// connections for four seconds while there are 1.5 times as many requests as
/// the others can run. Reports are lost, late and doubled. A request is refused
/// after three failed connects, as in call.
class simulated_outage
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        /// Daemons tell each other which targets they cannot connect to.
        bool is_shared_ = true;
    };

    struct result
    {
        int failed_connects_ = 0;
        /// Requests refused for want of a target while a target that takes
        /// connections had a free slot.
        int refused_beside_room_ = 0;
        int served_ = 0;
        /// Verdicts of all daemons that are in force at the end.
        std::size_t out_at_end_ = 0;
    };

    simulated_outage(settings s, std::uint64_t seed);

    result run();

private:
    struct daemon
    {
        peer_table peers_;
        std::unique_ptr<dispatcher> dispatcher_;
        std::uint32_t reports_ = 0;
        std::map<std::uint64_t, pending_call> calls_;
    };

    struct message
    {
        base::time_point due_;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        std::shared_ptr<peer_report const> report_;
    };

    struct running
    {
        std::size_t daemon_ = 0;
        std::uint64_t number_ = 0;
        std::size_t target_ = 0;
    };

    bool refuses(std::size_t target) const;
    bool has_room() const;
    void arrive();
    void finish();
    void report(std::size_t from);
    void deliver();
    void decide(std::size_t d);
    void connect(std::size_t d, std::uint64_t number, base::target_id const&);
    void refuse(daemon& d, std::uint64_t number, bool lacks_target);
    void on_connect(daemon& d, std::size_t target, bool connected);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::vector<target_info> targets_;
    std::map<base::target_id, std::size_t> index_;
    std::vector<int> used_;
    std::vector<daemon> daemons_;
    std::multimap<base::time_point, running> running_;
    std::multimap<base::time_point, message> messages_;
    std::uint64_t next_ = 1;
    double arrivals_ = 0;
    result result_;
};

} // namespace tanagerlead::routing::testing
