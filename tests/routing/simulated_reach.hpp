#pragma once

#include "src/base/random.hpp"
#include "src/routing/peer_table.hpp"
#include "src/routing/target_reach.hpp"

#include <memory>
#include <vector>

namespace tanagerlead::routing::testing
{

/// Daemons in virtual time, some of which are cut off from the targets of one
/// or of both pools. Their reports are lost, late and doubled. Requests come to
/// all daemons and are passed on as target_links does.
class simulated_reach
{
public:
    struct settings
    {
        std::size_t daemons_ = 7;
        /// Fraction of the daemons that are cut off.
        double cut_fraction_ = 0.5;
        double requests_per_second_ = 200;
    };

    struct tally
    {
        int asked_ = 0;
        int served_ = 0;
    };

    simulated_reach(settings s, std::uint64_t seed);

    /// Cuts some daemons off for ten seconds, with two seconds before and
    /// after.
    void run();

    /// First tries from the stable window after the cut until its end, at cut
    /// daemons and at the others.
    tally at_cut() const { return at_cut_; }
    tally at_others() const { return at_others_; }
    /// The same after the cut.
    tally afterwards() const { return afterwards_; }
    /// Requests passed on more often than allowed, or by a relay.
    int chained() const { return chained_; }
    /// The most requests that one of the others handled, in multiples of their
    /// mean.
    double max_load() const;

private:
    struct daemon
    {
        explicit daemon(std::uint64_t seed) : reach_{seed} {}

        target_reach reach_;
        peer_table peers_;
        /// By pool.
        std::vector<bool> cut_ = {false, false};
        std::uint32_t reports_ = 0;
        int handled_ = 0;
    };

    struct message
    {
        base::time_point due_;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        std::shared_ptr<peer_report const> report_;
    };

    void cut_some();
    void end_cut();
    void report(std::size_t from);
    void deliver();
    void probe(daemon& d);
    /// Whether a connect to a random target of the pool succeeds.
    bool connect(daemon& d, std::size_t pool);
    bool handle(std::size_t d, std::size_t pool, bool is_relayed);
    void ask();

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    base::time_point cut_at_;
    base::time_point end_at_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::vector<std::vector<target_info>> targets_;
    std::vector<message> messages_;
    tally at_cut_;
    tally at_others_;
    tally afterwards_;
    int chained_ = 0;
};

} // namespace tanagerlead::routing::testing
