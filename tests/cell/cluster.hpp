#pragma once

#include "src/base/random.hpp"
#include "src/cell/coordinator.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerlead::cell
{

/// What the links between daemons do to datagrams.
struct link_faults
{
    double lost_ = 0;
    double doubled_ = 0;
    base::duration longest_delay_ = std::chrono::milliseconds{1};
};

/// A decision as its daemon's request path saw it.
struct recorded_decision
{
    std::size_t node_ = 0;
    decided_request decided_;
    base::time_point when_;
};

std::unique_ptr<sched::cell_scheduler> make_fifo_scheduler();

config::configuration small_configuration(int targets, int slots);

/// A few coordinators, their datagrams and a clock. No hosts, no engines.
class cluster
{
public:
    cluster(std::size_t nodes, std::uint64_t seed, bool has_host_list = false,
            scheduler_factory make_scheduler = make_fifo_scheduler);

    base::time_point now() const { return now_; }
    void set_config(config::configuration const& configuration);
    void set_faults(link_faults const& faults) { faults_ = faults; }
    /// Nothing passes between the two, in either direction.
    void cut(std::size_t a, std::size_t b, bool is_cut);
    void crash(std::size_t node);
    /// Comes back with an origin of its own.
    void restart(std::size_t node);
    /// The daemon stops running, and is not told of members until it resumes.
    void freeze(std::size_t node, bool frozen);
    /// All daemons that run learn at once who is alive.
    void spread_members();
    /// Only this one learns.
    void show_members(std::size_t node);
    void set_state(std::size_t node, membership::member_state state);

    base::request_id submit(std::size_t node, int tier = 0,
                            std::uint64_t fingerprint = 0);
    sched::work_item item(base::request_id request) const;
    void withdraw(std::size_t node, base::request_id request);
    void report(std::size_t node, base::request_id request,
                base::target_id const& target, sched::dispatch_event event);
    void read_hosts(std::size_t node, std::set<base::target_id> leaving);
    void resubmit(std::size_t node, base::request_id request);

    /// Lets everything happen that is due until then.
    void run_for(base::duration span);
    /// One step: the next datagram or timer, at most until `end`.
    bool step(base::time_point end);

    coordinator& at(std::size_t node) { return *nodes_[node].coordinator_; }
    daemon_life life(std::size_t node) const { return nodes_[node].life_; }
    bool runs(std::size_t node) const
    {
        return nodes_[node].coordinator_ != nullptr && !nodes_[node].frozen_;
    }
    std::size_t size() const { return nodes_.size(); }
    /// The node that owns the only cell, by the view of `node`.
    std::size_t owner(std::size_t node = 0) const;
    std::vector<recorded_decision> const& decisions() const
    {
        return decisions_;
    }
    std::vector<recorded_decision> take_new_decisions();
    std::size_t datagrams() const { return datagrams_; }
    /// Payloads only; the envelope adds to each datagram.
    std::size_t bytes() const { return bytes_; }

private:
    struct datagram
    {
        daemon_life from_;
        std::size_t to_ = 0;
        std::string payload_;
    };
    struct daemon_node
    {
        daemon_life life_;
        std::unique_ptr<coordinator> coordinator_;
        membership::member_state state_ = membership::member_state::alive;
        bool frozen_ = false;
        std::vector<datagram> unread_;
    };

    void start(std::size_t node);
    void advance(std::size_t node);
    void send(std::size_t from, std::size_t to, std::string const& payload);
    void deliver(datagram const& arrived);
    std::size_t node_of(base::daemon_id const& daemon) const;
    membership::view members() const;

    base::random_source random_;
    bool has_host_list_;
    scheduler_factory make_scheduler_;
    base::time_point now_{std::chrono::hours{1}};
    std::vector<daemon_node> nodes_;
    std::uint64_t last_origin_ = 100;
    std::uint64_t last_sequence_ = 0;
    config::snapshot config_;
    link_faults faults_;
    std::map<std::pair<std::size_t, std::size_t>, bool> cuts_;
    std::multimap<base::time_point, datagram> flying_;
    std::map<base::request_id, sched::work_item> items_;
    std::vector<recorded_decision> decisions_;
    std::size_t taken_ = 0;
    std::size_t datagrams_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace tanagerlead::cell
