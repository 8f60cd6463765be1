#pragma once

#include "src/base/random.hpp"
#include "src/routing/origin_archive.hpp"
#include "src/routing/stream_starts.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace tanagerlead::routing::testing
{

/// Daemons that keep the starts of their streams in a store, in virtual time.
/// Pools change versions, routes move between pools, and daemons are killed one
/// by one and all at once, at any step. A stream is taken up at a daemon that
/// does not know it, which infers its version, or does not.
class simulated_losses
{
public:
    struct settings
    {
        std::size_t daemons_ = 4;
        double streams_per_second_ = 20;
        double kills_per_second_ = 0.3;
        double losses_of_all_per_second_ = 0.05;
        /// Versions of pools, and routes.
        double changes_per_second_ = 0.1;
        /// Restorations of the store from an older copy.
        double restorations_per_second_ = 0;
    };

    simulated_losses(settings s, std::uint64_t seed);

    void run(base::duration length);

    /// Streams that were inferred to have begun at a version that did not begin
    /// them.
    int wrong() const { return wrong_; }
    int inferred() const { return inferred_; }
    int refused() const { return refused_; }

private:
    using handler = std::function<void()>;

    struct event
    {
        base::time_point at_;
        std::uint64_t number_ = 0;
        handler what_;

        bool operator<(event const& other) const
        {
            return std::tie(other.at_, other.number_) < std::tie(at_, number_);
        }
    };

    /// What a daemon, or the world, takes for true.
    struct world_view
    {
        /// Versions in service, by pool.
        std::map<std::string, std::set<std::string>> versions_;
        /// The pool of each route's prefix.
        std::map<std::string, std::string> routes_;
    };

    struct daemon
    {
        std::uint64_t life_ = 0;
        bool is_alive_ = false;
        base::time_point settled_at_;
        world_view view_;
        stream_starts starts_;
        origin_archive archive_;
        bool is_writing_ = false;
        /// What it has written last.
        std::vector<stream_start> list_;
        /// The era that its item names, and when it names the current one.
        int vouched_era_ = 0;
        base::time_point vouch_at_;
    };

    struct item
    {
        std::vector<stream_start> starts_;
        int era_ = 0;
        base::time_point ends_at_{};
    };

    struct stream
    {
        std::string path_;
        version_digest version_{};
        base::time_point began_at_;
    };

    void after(base::duration delay, handler what);
    base::duration between(base::duration least, base::duration most);
    bool chance(double probability);
    void every(double per_second, handler const& what);

    void start(std::size_t d);
    void kill(std::size_t d);
    void kill_all();
    void change();
    void restore();
    void show(std::size_t d);
    void begin(std::size_t d, std::string const& path);
    void send(std::size_t d, std::string const& path,
              stream_start const& begins);
    void write(std::size_t d);
    /// Writes the item again after the store was restored.
    void rewrite(std::size_t d);
    int vouched_era(std::size_t d);
    void renew(std::size_t d, std::uint64_t life);
    void take_up();
    void infer(std::size_t d, stream const& taken,
               std::vector<stream_start> const& starts);
    std::string key_of(std::size_t d) const;
    static std::vector<target_info> targets_of(world_view const& view);
    static version_digest digest(std::string const& pool,
                                 std::string const& version);

    settings settings_;
    base::random_source random_;
    base::time_point now_;
    std::uint64_t events_ = 0;
    std::priority_queue<event> queue_;
    world_view world_;
    std::vector<daemon> daemons_;
    std::map<std::string, item> items_;
    std::vector<std::pair<base::time_point, std::map<std::string, item>>>
        copies_;
    int era_ = 1;
    std::vector<stream> streams_;
    int next_version_ = 1;
    int wrong_ = 0;
    int inferred_ = 0;
    int refused_ = 0;
};

} // namespace tanagerlead::routing::testing
