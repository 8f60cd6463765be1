#include "review/standins-3/fleet.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

// The scripts of the third review: `cases NAME PROGRAM FOLDER RECORD`. Exits
// with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// With TROUBLE=0 in the environment nothing is disturbed.
namespace tanagerlead::review
{

using namespace std::chrono_literals;

namespace
{

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
/// Requests that LOST allows to be cut.
constexpr std::size_t max_lost = 3;
/// Own ends of a process from which it counts for the rule Fault, and how many
/// such machines a small deployment may not have.
constexpr int fault_ends = 3;
constexpr int fault_machines = 2;
constexpr std::size_t mean_body_bytes = 600;

bool wait_until_serving(deployment& d)
{
    d.start_daemons();
    for (int i = 0; i < 40; ++i)
    {
        std::this_thread::sleep_for(250ms);
        if (d.is_serving())
        {
            std::this_thread::sleep_for(stable_window + 1s);
            return true;
        }
    }
    return false;
}

/// Clients that keep their connections and send requests, one after the other.
class load
{
public:
    load(deployment& d, int clients, std::string const& path,
         base::duration deadline, base::duration pause)
    {
        for (int i = 0; i < clients; ++i)
        {
            threads_.emplace_back(
                [this, &d, i, path, deadline, pause]
                {
                    client c{d.out()};
                    while (!is_over_)
                    {
                        client_request request;
                        request.id_ = d.fresh_id();
                        request.path_ = path;
                        request.body_ = &body_;
                        request.deadline_ = deadline;
                        c.call(d.ip_of(i), request);
                        std::this_thread::sleep_for(pause);
                    }
                });
        }
    }
    ~load()
    {
        is_over_ = true;
        for (auto& each : threads_)
        {
            each.join();
        }
    }
    load(load const&) = delete;
    load& operator=(load const&) = delete;

private:
    std::string body_ = std::string(mean_body_bytes, 'p');
    std::atomic<bool> is_over_ = false;
    std::vector<std::thread> threads_;
};

/// LOST, and the fault of processes that end by themselves.
int judge_ends(deployment& d)
{
    auto const lost = d.out().lost();
    int machines = 0;
    int own_ends = 0;
    for (int i = 0; i < d.daemon_count(); ++i)
    {
        machines += d.own_ends(i) >= fault_ends ? 1 : 0;
        own_ends += d.own_ends(i);
        d.out().note("front-" + std::to_string(i) + ": own ends " +
                     std::to_string(d.own_ends(i)) + ", most memory " +
                     std::to_string(d.peak_mib(i)) + " MiB");
    }
    auto const is_lost = lost.size() > max_lost;
    auto const is_fault = machines >= fault_machines;
    std::string text =
        "tries sent " + std::to_string(d.out().sent()) + ", answered " +
        std::to_string(d.out().count(try_end::answered)) +
        " (200: " + std::to_string(d.out().count_status(200)) +
        "), begun by a sound runner and then cut " +
        std::to_string(lost.size()) + ", own ends " + std::to_string(own_ends) +
        ", machines with three " + std::to_string(machines) + ":";
    text += is_lost ? " LOST is broken" : "";
    text += is_fault ? " Fault" : "";
    text += is_lost || is_fault ? "" : " kept";
    d.out().note(text);
    std::printf("%s\n", text.c_str());
    return is_lost || is_fault ? exit_broken : exit_held;
}

/// Clients that send requests over kept connections, at the same rate over many
/// of them or over few. Each answer is some hundred kilobytes.
class many_connections
{
public:
    many_connections(deployment& d, int connections_per_thread)
    {
        constexpr int threads_per_daemon = 16;
        for (int i = 0; i < threads_per_daemon * d.daemon_count(); ++i)
        {
            threads_.emplace_back([this, &d, i, connections_per_thread]
                                  { run(d, i, connections_per_thread); });
        }
    }
    ~many_connections()
    {
        is_over_ = true;
        for (auto& each : threads_)
        {
            each.join();
        }
    }
    many_connections(many_connections const&) = delete;
    many_connections& operator=(many_connections const&) = delete;

private:
    void run(deployment& d, int number, int connections)
    {
        std::vector<std::unique_ptr<client>> clients;
        for (int i = 0; i < connections; ++i)
        {
            clients.push_back(std::make_unique<client>(d.out()));
        }
        for (std::size_t i = 0; !is_over_; i = (i + 1) % clients.size())
        {
            client_request request;
            request.id_ = d.fresh_id();
            request.path_ = "/till/x";
            request.body_ = &body_;
            request.deadline_ = 1500ms;
            clients[i]->call(d.ip_of(number), request);
            std::this_thread::sleep_for(120ms);
        }
    }

    std::string body_ = std::string(mean_body_bytes, 'm');
    std::atomic<bool> is_over_ = false;
    std::vector<std::thread> threads_;
};

int play_answers(deployment::settings s, record& out, bool is_disturbed)
{
    constexpr int many = 25;
    s.plain_work_ = 200ms;
    s.plain_answer_bytes_ = 200'000;
    s.plain_runners_ = 6;
    deployment d{s, out};
    if (!wait_until_serving(d))
    {
        return exit_not_run;
    }
    many_connections const clients{d, is_disturbed ? many : 1};
    std::this_thread::sleep_for(50s);
    return judge_ends(d);
}

/// Most runners send the head of an answer and then bytes without end. The load
/// is what one machine gets of a burst.
int play_endless(deployment::settings s, record& out, bool is_disturbed)
{
    constexpr int stream_runners_in_trouble = 9;
    constexpr int plain_runners_in_trouble = 3;
    s.daemons_ = 1;
    s.stream_work_ = 50ms;
    s.plain_work_ = 30ms;
    s.event_time_ = 20ms;
    s.stream_endless_pause_ = 50ms;
    s.plain_endless_pause_ = 2ms;
    deployment d{s, out};
    if (!wait_until_serving(d))
    {
        return exit_not_run;
    }
    load const streams{d, 72, "/label/x", 15s, 1500ms};
    load const uploads{d, 12, "/till/x", 1500ms, 800ms};
    std::this_thread::sleep_for(5s);
    if (is_disturbed)
    {
        d.set_trouble(runner_trouble::endless, stream_runners_in_trouble,
                      plain_runners_in_trouble);
    }
    std::this_thread::sleep_for(40s);
    return judge_ends(d);
}

/// Streams are under way when all daemons lose power. While they are down, the
/// first runners of another software version come. Then the clients take their
/// streams up again until the time limit, and new streams begin.
class resumed_streams
{
public:
    /// Tries of machines in touch, of streams that began before, and of new
    /// ones.
    struct result
    {
        int taken_up_ = 0;
        int went_on_ = 0;
        int new_ = 0;
        int begun_ = 0;
        int mixed_ = 0;
    };

    resumed_streams(deployment& d, bool is_disturbed)
        : d_{d}, is_disturbed_{is_disturbed}
    {
    }

    result play();

private:
    /// One stream, from its first try to its end or its time limit.
    void run_stream(int number);
    void begin_new_streams();
    client_request fresh_request(base::time_point until);

    deployment& d_;
    bool is_disturbed_;
    std::string body_ = std::string(mean_body_bytes, 's');
    std::atomic<bool> is_cut_ = false;
    /// Since when the machines are in touch.
    std::atomic<base::time_point> in_touch_from_ = base::time_point::max();
    std::mutex mutex_;
    result result_;
};

client_request resumed_streams::fresh_request(base::time_point until)
{
    client_request out;
    out.id_ = d_.fresh_id();
    out.path_ = "/label/x";
    out.body_ = &body_;
    out.deadline_ = until - net::now();
    return out;
}

void resumed_streams::run_stream(int number)
{
    auto const until = net::now() + 15s;
    client c{d_.out()};
    auto const first = fresh_request(until);
    auto got = c.call(d_.ip_of(number), first,
                      [this](int) { return !is_cut_.load(); });
    auto const version =
        got.versions_.empty() ? std::string{} : got.versions_.front();
    auto const last_event = got.last_event_;
    // It ended before the cut, or had not begun.
    if (got.end_ == try_end::answered || last_event == 0)
    {
        return;
    }
    auto was_tried_in_touch = false;
    auto went_on = false;
    while (!went_on && net::now() + 500ms < until)
    {
        auto const is_in_touch = net::now() >= in_touch_from_.load();
        auto again = fresh_request(until);
        again.last_event_ = last_event;
        again.resumes_ = first.id_;
        got = c.call(d_.ip_of(++number), again);
        went_on = got.last_event_ > last_event;
        was_tried_in_touch = was_tried_in_touch || is_in_touch;
        if (!went_on)
        {
            std::this_thread::sleep_for(
                base::from_seconds(std::max(0.2, got.retry_after_seconds_)));
        }
    }
    std::lock_guard const guard{mutex_};
    for (auto const& each : got.versions_)
    {
        result_.mixed_ += each != version ? 1 : 0;
    }
    result_.taken_up_ += was_tried_in_touch ? 1 : 0;
    result_.went_on_ += was_tried_in_touch && went_on ? 1 : 0;
}

void resumed_streams::begin_new_streams()
{
    constexpr int count = 24;
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i)
    {
        threads.emplace_back(
            [this, i]
            {
                client c{d_.out()};
                auto const got =
                    c.call(d_.ip_of(i), fresh_request(net::now() + 15s),
                           [](int event) { return event < 2; });
                std::lock_guard const guard{mutex_};
                ++result_.new_;
                result_.begun_ += got.last_event_ > 0 ? 1 : 0;
            });
        std::this_thread::sleep_for(50ms);
    }
    for (auto& each : threads)
    {
        each.join();
    }
}

resumed_streams::result resumed_streams::play()
{
    constexpr int count = 36;
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i)
    {
        threads.emplace_back([this, i] { run_stream(i); });
    }
    // Their origins are stored and copied by then.
    std::this_thread::sleep_for(2500ms);
    d_.out().note("channels of all clients end");
    is_cut_ = true;
    in_touch_from_ = net::now();
    if (is_disturbed_)
    {
        in_touch_from_ = base::time_point::max();
        d_.kill_daemons();
    }
    std::this_thread::sleep_for(500ms);
    d_.add_stream_runners(2, "2");
    std::this_thread::sleep_for(1s);
    if (is_disturbed_)
    {
        d_.start_daemons();
        in_touch_from_ = net::now() + stable_window;
    }
    std::this_thread::sleep_for(stable_window);
    begin_new_streams();
    for (auto& each : threads)
    {
        each.join();
    }
    return result_;
}

int play_versions(deployment::settings s, record& out, bool is_disturbed)
{
    constexpr int min_taken_up = 12;
    constexpr int max_mixed = 2;
    s.daemons_ = 3;
    s.stream_work_ = 50ms;
    s.plain_work_ = 30ms;
    s.events_ = 50;
    s.event_time_ = 200ms;
    deployment d{s, out};
    if (!wait_until_serving(d))
    {
        return exit_not_run;
    }
    auto const got = resumed_streams{d, is_disturbed}.play();
    auto const share = [](int part, int all)
    {
        return all == 0 ? 1.0 : static_cast<double>(part) / all;
    };
    auto const is_lost =
        got.taken_up_ >= min_taken_up &&
        share(got.went_on_, got.taken_up_) < share(got.begun_, got.new_) / 2;
    auto const is_mixed = got.mixed_ > max_mixed;
    auto const text =
        "streams taken up again " + std::to_string(got.taken_up_) +
        ", went on " + std::to_string(got.went_on_) + "; new streams " +
        std::to_string(got.new_) + ", begun " + std::to_string(got.begun_) +
        "; events of another version " + std::to_string(got.mixed_) + ":" +
        (is_lost ? " LOST is broken" : "") +
        (is_mixed ? " ORDER is broken" : "") +
        (is_lost || is_mixed ? "" : " kept");
    out.note(text);
    std::printf("%s\n", text.c_str());
    return is_lost || is_mixed ? exit_broken : exit_held;
}

} // namespace

static int run_case(std::string const& name, deployment::settings const& s,
                    record& out, bool is_disturbed)
{
    if (name == "answers")
    {
        return play_answers(s, out, is_disturbed);
    }
    if (name == "endless")
    {
        return play_endless(s, out, is_disturbed);
    }
    if (name == "versions")
    {
        return play_versions(s, out, is_disturbed);
    }
    return exit_not_run;
}

} // namespace tanagerlead::review

int main(int argc, char** argv)
{
    using namespace tanagerlead::review;
    constexpr int words = 5;
    if (argc != words)
    {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto const* const trouble = std::getenv("TROUBLE");
    auto const is_disturbed =
        trouble == nullptr || std::strcmp(trouble, "0") != 0;
    record out{argv[4]};
    deployment::settings s;
    s.program_ = argv[2];
    s.folder_ = argv[3];
    return run_case(argv[1], s, out, is_disturbed);
}
