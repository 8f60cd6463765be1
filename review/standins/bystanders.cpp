#include "bystanders.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>

#include <unistd.h>

namespace review
{

namespace
{

constexpr milliseconds stream_limit{15000};
constexpr milliseconds post_limit{1500};
constexpr int first_post_caller = 100;
/// By the rule.
constexpr int allowed_closed = 3;

int resident_mb(pid_t process)
{
    std::ifstream in{"/proc/" + std::to_string(process) + "/statm"};
    long all = 0;
    long resident = 0;
    in >> all >> resident;
    return static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) / 1000000);
}

} // namespace

bystanders::bystanders(fleet& served, int stream_callers, int post_callers)
    : fleet_{served}
{
    for (int i = 0; i < stream_callers; ++i)
    {
        threads_.emplace_back([this, i] { play_streams(i); });
    }
    for (int i = 0; i < post_callers; ++i)
    {
        threads_.emplace_back([this, i] { play_posts(first_post_caller + i); });
    }
}

void bystanders::stop()
{
    is_over_ = true;
    for (auto& each : threads_)
    {
        each.join();
    }
    threads_.clear();
}

void bystanders::note_closed(caller const& by, outcome const& got)
{
    if (!got.is_whole_ && by.was_kept())
    {
        std::lock_guard const hold{lock_};
        (got.status_ == 0 ? unanswered_ : partial_).insert(by.last_id());
    }
}

void bystanders::play_streams(int number)
{
    caller by{fleet_, number, zone_of(number)};
    std::this_thread::sleep_for(milliseconds{number * 50});
    while (!is_over_)
    {
        auto const got = by.send("/draft/30/60/x", "prompt", stream_limit);
        ++streams_;
        whole_streams_ += got.status_ == 200 && got.is_whole_ ? 1 : 0;
        note_closed(by, got);
        std::this_thread::sleep_for(milliseconds{by.random()() % 100});
    }
}

void bystanders::play_posts(int number)
{
    caller by{fleet_, number, zone_of(number)};
    std::string const body(600, 'p');
    while (!is_over_)
    {
        auto const got = by.send("/till/x", body, post_limit);
        ++posts_;
        answered_posts_ += got.status_ == 200 && got.is_whole_ ? 1 : 0;
        note_closed(by, got);
        std::this_thread::sleep_for(milliseconds{10 + by.random()() % 10});
    }
}

std::pair<int, int> bystanders::count_closed(std::string const& record) const
{
    std::ifstream in{record};
    std::set<std::string> run;
    std::string word;
    bool is_id = false;
    while (in >> word)
    {
        if (is_id)
        {
            run.insert(word);
        }
        is_id = word == "request";
    }
    auto const count = [&](std::set<std::string> const& ids)
    {
        return static_cast<int>(std::count_if(ids.begin(), ids.end(),
                                              [&](auto const& id)
                                              { return run.contains(id); }));
    };
    return {count(unanswered_), count(partial_)};
}

memory_watch::memory_watch(fleet& served, int limit_mb)
    : fleet_{served}, limit_mb_{limit_mb}, thread_{[this]
                                                   {
                                                       watch();
                                                   }}
{
}

void memory_watch::stop()
{
    is_over_ = true;
    thread_.join();
}

void memory_watch::watch()
{
    auto& daemons = fleet_.daemons();
    std::vector<steady::time_point> start_at(daemons.size());
    while (!is_over_)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i)
        {
            auto& process = daemons[i].process_;
            if (process.id() < 0)
            {
                if (steady::now() >= start_at[i])
                {
                    fleet_.start_daemon(i);
                }
                continue;
            }
            auto const mb = resident_mb(process.id());
            most_mb_ = std::max(most_mb_.load(), mb);
            if (mb > limit_mb_ || process.has_ended())
            {
                process.kill();
                ++ended_;
                start_at[i] = steady::now() + 1s;
                fleet_.record().write("ENDED " + daemons[i].name_ + " with " +
                                      std::to_string(mb) + " MB");
            }
        }
        std::this_thread::sleep_for(5ms);
    }
}

nlohmann::json make_route(char const* name, char const* prefix,
                          char const* kind)
{
    return {
        {"Name", name},       {"Host", "shops.example"},   {"Prefix", prefix},
        {"Kind", kind},       {"Service", "tanager-pool"}, {"MaxAttempts", 2},
        {"TimeoutMs", 15000}, {"TargetLatencyMs", 1200},   {"GapAimMs", 400},
        {"Priority", 0},      {"ResumeStreams", true}};
}

bool report_lost(bystanders const& others, memory_watch const& memory,
                 std::string const& record)
{
    auto const [unanswered, partial] = others.count_closed(record);
    std::printf("streams %d, whole %d; posts %d, answered %d; most memory %d "
                "MB; processes ended %d\n",
                others.streams(), others.whole_streams(), others.posts(),
                others.answered_posts(), memory.most_mb(), memory.ended());
    std::printf("requests of kept connections that a runner ran and that were "
                "closed without an answer %d (allowed %d), with a part of one "
                "%d\n",
                unanswered, allowed_closed, partial);
    return unanswered > allowed_closed;
}

} // namespace review
