#include "../standins/caller.hpp"

#include <atomic>
#include <csignal>
#include <cstdio>

#include <unistd.h>

// All daemons are killed at the same moment, while streams run at a service
// with one software version. The requesters take their streams up again when
// the daemons have been back for as long as it takes to be in touch. Without
// the disruption the requesters leave by themselves and come back likewise.
namespace review
{

namespace
{

constexpr int stream_callers = 50;
constexpr int new_callers = 12;
constexpr int least_streams = 12;
constexpr milliseconds time_limit{15000};
constexpr auto start_span = 4s;
constexpr auto down_time = 1s;
/// `StableWindowMs`.
constexpr auto stable_window = 3s;
/// After the end of the connection; the last is within the 4.8 s (four times
/// the objective) for which requesters stay.
constexpr std::array tries{300ms, 1500ms, 4500ms};
constexpr auto last_time = 8s;

struct tally
{
    steady::time_point struck_at_;
    std::atomic<int> broken_{0};
    std::atomic<int> taken_up_{0};
    std::atomic<int> gone_on_{0};
    std::atomic<int> unknown_{0};
    std::atomic<int> new_{0};
    std::atomic<int> begun_{0};
};

std::string path_of(int events)
{
    return "/draft/" + std::to_string(events) + "/80/x";
}

bool is_in_touch(tally const& count)
{
    return !has_trouble() ||
           steady::now() >= count.struck_at_ + down_time + stable_window;
}

// Streams of 9.6 s, all of which are under way at the strike.
void play_stream(fleet& served, tally& count, int number)
{
    caller by{served, number, zone_of(number)};
    std::this_thread::sleep_for(start_span / stream_callers * number);
    auto const began = steady::now();
    by.leave_at(has_trouble() ? steady::time_point::max() : count.struck_at_);
    auto const got = by.send(path_of(120), "prompt", time_limit);
    auto const first = by.last_id();
    if (got.is_whole_ || got.status_ != 200 || got.last_event_ == 0)
    {
        return;
    }
    ++count.broken_;
    by.leave_at(steady::time_point::max());
    auto const ended = steady::now();
    for (auto const pause : tries)
    {
        std::this_thread::sleep_until(ended + pause);
        by.leave();
        auto const in_touch = is_in_touch(count);
        auto const left = std::chrono::duration_cast<milliseconds>(
            began + time_limit - steady::now());
        auto const more =
            by.send(path_of(120), "prompt", left, first, got.last_event_);
        auto const goes_on = more.last_event_ > got.last_event_;
        count.unknown_ += more.status_ == 503 ? 1 : 0;
        count.taken_up_ += in_touch ? 1 : 0;
        count.gone_on_ += in_touch && goes_on ? 1 : 0;
        if (goes_on)
        {
            return;
        }
    }
}

// A new stream at the time of the last try.
void begin_new(fleet& served, tally& count, int number)
{
    caller by{served, number, zone_of(number)};
    std::this_thread::sleep_until(count.struck_at_ + tries.back() +
                                  milliseconds{20 * (number % new_callers)});
    ++count.new_;
    auto const got = by.send(path_of(20), "prompt", time_limit);
    count.begun_ += got.last_event_ > 0 ? 1 : 0;
}

int play(std::string const& root, std::string const& record)
{
    fleet_settings s;
    s.routes_ = nlohmann::json::array({{{"Name", "draft"},
                                        {"Host", "shops.example"},
                                        {"Prefix", "/draft/"},
                                        {"Kind", "stream"},
                                        {"Service", "tanager-pool"},
                                        {"MaxAttempts", 2},
                                        {"TimeoutMs", 15000},
                                        {"TargetLatencyMs", 1200},
                                        {"GapAimMs", 400},
                                        {"Priority", 0},
                                        {"ResumeStreams", true},
                                        {"StickySessions", true}}});
    fleet served{root, record, s};
    if (!served.start())
    {
        served.stop();
        std::printf("the fleet did not start\n");
        return 2;
    }
    // The registry and the daemons are stable.
    std::this_thread::sleep_for(4s);
    tally count;
    count.struck_at_ = steady::now() + start_span + 1s;
    std::vector<std::thread> threads;
    for (int i = 0; i < stream_callers; ++i)
    {
        threads.emplace_back([&, i] { play_stream(served, count, i); });
    }
    for (int i = 0; i < new_callers; ++i)
    {
        threads.emplace_back([&, i] { begin_new(served, count, 100 + i); });
    }
    std::this_thread::sleep_until(count.struck_at_);
    if (has_trouble())
    {
        for (auto& each : served.daemons())
        {
            each.process_.signal(SIGKILL);
        }
        served.record().write("KILL all daemons");
        std::this_thread::sleep_for(down_time);
        for (std::size_t i = 0; i < served.daemons().size(); ++i)
        {
            served.start_daemon(i);
        }
        served.record().write("START all daemons");
    }
    std::this_thread::sleep_until(count.struck_at_ + last_time);
    for (auto& each : threads)
    {
        each.join();
    }
    std::printf("streams broken off %d; tries refused with 503 %d; taken up "
                "at machines in touch %d, of which went on %d; new streams %d, "
                "of which began %d\n",
                count.broken_.load(), count.unknown_.load(),
                count.taken_up_.load(), count.gone_on_.load(),
                count.new_.load(), count.begun_.load());
    served.stop();
    if (count.broken_ < least_streams || count.begun_ == 0)
    {
        return 2;
    }
    auto const share = 1.0 * count.gone_on_ / std::max(1, +count.taken_up_);
    auto const share_of_new = 1.0 * count.begun_ / count.new_;
    return count.taken_up_ >= least_streams && share < 0.5 * share_of_new ? 1
                                                                          : 0;
}

} // namespace

} // namespace review

/// Arguments: the repository and the file for the record.
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
    {
        return 2;
    }
    auto const result = review::play(argv[1], argv[2]);
    std::fflush(stdout);
    // Threads of the store may still serve.
    ::_exit(result);
}
