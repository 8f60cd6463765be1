#pragma once

#include "src/membership/swim.hpp"

#include <memory>
#include <queue>
#include <set>

namespace tanagerlead::membership
{

/// Some `swim` objects and their messages in virtual time, for tests and
/// benchmarks. Addresses are 10.0.0.0 with the node's number as the port.
class swim_network
{
public:
    explicit swim_network(std::uint64_t seed) : random_{seed} {}

    /// Adds a node that joins by node 0.
    std::size_t add(std::string const& daemon, std::uint64_t incarnation = 1);
    /// A new life under the name of an earlier node, with its address.
    void restart(std::size_t node, std::uint64_t incarnation);

    /// Delivers and ticks for this long.
    void run(base::duration length);

    swim& at(std::size_t node) { return *nodes_[node].swim_; }
    /// Messages of a stopped node are dropped and it does not tick.
    void stop(std::size_t node) { nodes_[node].stopped_ = true; }
    void resume(std::size_t node) { nodes_[node].stopped_ = false; }
    /// Messages from one to the other are dropped.
    void cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
    void heal() { cuts_.clear(); }
    void set_loss(double part) { loss_ = part; }

    /// State of `subject` as `observer` sees it; dead when unknown.
    member_state state(std::size_t observer, std::size_t subject) const;
    /// Whether all running nodes see all running nodes alive.
    bool converged() const;

    base::time_point now() const { return now_; }
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t messages() const { return order_; }
    std::size_t largest_message() const { return largest_message_; }
    std::size_t size() const { return nodes_.size(); }

private:
    struct simulated_node
    {
        std::unique_ptr<swim> swim_;
        bool stopped_ = false;
    };

    struct delivery
    {
        base::time_point when_;
        std::uint64_t order_ = 0;
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        std::string bytes_;

        bool operator>(delivery const& other) const
        {
            return std::tie(when_, order_) >
                   std::tie(other.when_, other.order_);
        }
    };

    void collect(std::size_t node);
    void deliver_due();

    base::random_source random_;
    std::vector<simulated_node> nodes_;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>>
        in_transit_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    double loss_ = 0;
    base::time_point now_{std::chrono::hours{1}};
    /// Numbers the messages sent.
    std::uint64_t order_ = 0;
    std::uint64_t bytes_ = 0;
    std::size_t largest_message_ = 0;
};

} // namespace tanagerlead::membership
