#pragma once

#include "caller.hpp"

#include <atomic>

namespace review
{

/// Requesters with sound requests on kept connections, which a disruption of
/// others ought to leave alone: streams of 1.8 s and posts of 30 ms.
class bystanders
{
public:
    bystanders(fleet& served, int stream_callers, int post_callers);

    /// Ends them and waits.
    void stop();
    int streams() const { return streams_; }
    int whole_streams() const { return whole_streams_; }
    int posts() const { return posts_; }
    int answered_posts() const { return answered_posts_; }
    /// Requests of kept connections that a runner has run, by the record, and
    /// whose connection ended without a byte of an answer; and those that got
    /// a part of one.
    std::pair<int, int> count_closed(std::string const& record) const;

private:
    void play_streams(int number);
    void play_posts(int number);
    void note_closed(caller const& by, outcome const& got);

    fleet& fleet_;
    std::atomic<bool> is_over_{false};
    std::atomic<int> streams_{0};
    std::atomic<int> whole_streams_{0};
    std::atomic<int> posts_{0};
    std::atomic<int> answered_posts_{0};
    std::mutex lock_;
    std::set<std::string> unanswered_;
    std::set<std::string> partial_;
    std::vector<std::thread> threads_;
};

/// As the platform does, it kills a process over its memory limit and starts it
/// again after a short delay.
class memory_watch
{
public:
    memory_watch(fleet& served, int limit_mb);

    void stop();
    int most_mb() const { return most_mb_; }
    int ended() const { return ended_; }

private:
    void watch();

    fleet& fleet_;
    int limit_mb_;
    std::atomic<bool> is_over_{false};
    std::atomic<int> most_mb_{0};
    std::atomic<int> ended_{0};
    std::thread thread_;
};

/// A route of the service.
nlohmann::json make_route(char const* name, char const* prefix,
                          char const* kind);
/// Prints what the bystanders got; true if LOST was broken.
bool report_lost(bystanders const& others, memory_watch const& memory,
                 std::string const& record);

} // namespace review
