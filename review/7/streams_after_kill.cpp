#include "../standins/second/site.hpp"

#include <algorithm>
#include <atomic>
#include <iostream>

// Streams whose daemon is killed, and which their requesters take up again.
namespace tanagerlead::review
{

using namespace std::chrono_literals;

namespace
{

constexpr int daemons = 7;
constexpr int runners = 12;
constexpr auto time_limit = 15s;
/// Four times the objective of the route.
constexpr auto longest_silence = 4800ms;
/// A zone with two daemons.
constexpr char const* zone = "zone-c";

struct stream_outcome
{
    bool has_begun_ = false;
    bool is_complete_ = false;
    /// Its connection broke after it had begun.
    bool is_broken_ = false;
    /// It was taken up at another machine, and went on there. The other
    /// machines are in touch all the time.
    bool is_taken_up_ = false;
    bool goes_on_ = false;
    bool is_disordered_ = false;
};

/// One requester with one stream.
class reader
{
public:
    reader(site& where, std::string zone) : site_{where}, zone_{std::move(zone)}
    {
    }

    void run()
    {
        auto const end = steady::now() + time_limit;
        auto const addresses = resolve(site_.directories(zone_), zone_);
        if (addresses.empty())
        {
            return;
        }
        auto const to = pick(addresses);
        auto const first = ask(time_limit);
        take(attempt(to, first, 0, longest_silence, site_.log(),
                     [this] { ++events_; }));
        out_.has_begun_ = last_event_ > 0;
        out_.is_broken_ = out_.has_begun_ && !out_.is_complete_;
        if (!out_.is_broken_)
        {
            return;
        }
        auto const begun = first.header("tanagerlead-request-id");
        auto wait = 0ms;
        for (int i = 0; i < tries && !out_.goes_on_; ++i)
        {
            std::this_thread::sleep_for(wait);
            wait = std::max<milliseconds>(100ms, wait * 2);
            auto const left =
                std::chrono::duration_cast<milliseconds>(end - steady::now());
            if (left > 0ms)
            {
                take_up(begun, to, left);
            }
        }
    }

    /// Counts the events of the first attempt.
    std::atomic<int> events_ = 0;
    stream_outcome out_;

private:
    static constexpr int tries = 4;

    request ask(milliseconds left) const
    {
        auto out = make_request("POST", "/note/" + new_request_id(), left);
        out.headers_["Tanagerlead-Model"] = "m";
        out.headers_["Tanagerlead-Token-Usage"] = "543,300";
        out.headers_["Tanagerlead-Prompt-Prefix"] =
            "5c1e07a2:60," + new_request_id().substr(0, 8) + ":483";
        out.body_ = "{\"note\": \"shelf label\"}";
        return out;
    }

    void take(attempt_result const& got)
    {
        out_.is_disordered_ = out_.is_disordered_ || got.is_disordered_;
        out_.is_complete_ = got.is_complete_ && got.status_ == 200;
        last_event_ = got.last_event_;
    }

    void take_up(std::string const& begun, address const& failed,
                 milliseconds left)
    {
        auto addresses = resolve(site_.directories(zone_), zone_);
        std::erase_if(addresses,
                      [&](address const& each) {
                          return each.ip_ == failed.ip_ && addresses.size() > 1;
                      });
        if (addresses.empty())
        {
            return;
        }
        auto again = ask(left);
        again.headers_["Last-Event-Id"] = std::to_string(last_event_);
        again.headers_["Resumes"] = begun;
        auto const got = attempt(pick(addresses), again, last_event_,
                                 longest_silence, site_.log());
        take(got);
        out_.is_taken_up_ = true;
        out_.goes_on_ = got.events_ > 0;
    }

    site& site_;
    std::string zone_;
    int last_event_ = 0;
};

struct counts
{
    int new_ = 0;
    int begun_ = 0;
    int taken_up_ = 0;
    int gone_on_ = 0;
    int disordered_ = 0;
    int cut_ = 0;
};

counts count(std::vector<std::unique_ptr<reader>> const& readers)
{
    counts out;
    for (auto const& each : readers)
    {
        auto const& got = each->out_;
        ++out.new_;
        out.begun_ += got.has_begun_ ? 1 : 0;
        out.cut_ += got.is_broken_ ? 1 : 0;
        out.taken_up_ += got.is_taken_up_ ? 1 : 0;
        out.gone_on_ += got.is_taken_up_ && got.goes_on_ ? 1 : 0;
        out.disordered_ += got.is_disordered_ ? 1 : 0;
    }
    return out;
}

void start_readers(site& where, std::vector<std::unique_ptr<reader>>& readers,
                   std::vector<std::thread>& threads, int wanted)
{
    for (int i = 0; i < wanted; ++i)
    {
        readers.push_back(std::make_unique<reader>(where, zone));
        threads.emplace_back([each = readers.back().get()] { each->run(); });
        std::this_thread::sleep_for(5ms);
    }
}

bool all_have_begun(std::vector<std::unique_ptr<reader>> const& readers)
{
    return std::all_of(readers.begin(), readers.end(),
                       [](auto const& each) { return each->events_ > 0; });
}

/// LOST: of 12 or more streams that requesters take up again at machines in
/// touch, while two runners of their software version serve, the share that
/// goes on is under half of the share of new streams that begin.
int judge(record& log, counts const& c)
{
    auto const text = "new streams " + std::to_string(c.new_) + ", begun " +
                      std::to_string(c.begun_) + ", cut off " +
                      std::to_string(c.cut_) + ", taken up in touch " +
                      std::to_string(c.taken_up_) + ", gone on " +
                      std::to_string(c.gone_on_) + ", disordered " +
                      std::to_string(c.disordered_);
    auto const share_new = static_cast<double>(c.begun_) / std::max(1, c.new_);
    auto const share_again =
        static_cast<double>(c.gone_on_) / std::max(1, c.taken_up_);
    auto const is_broken = c.taken_up_ >= 12 && share_again < share_new / 2;
    if (has_trouble() && c.taken_up_ < 12)
    {
        return finish(log, verdict::not_run, text + ": too few to judge");
    }
    return finish(log, is_broken ? verdict::broken : verdict::held,
                  text + (is_broken ? ": LOST is broken" : ": LOST held"));
}

/// One daemon of a zone with two is killed.
void kill_one(site& where)
{
    auto& victim = *where.daemons().daemons().at(2);
    where.log().add("SIGKILL to " + victim.name());
    victim.kill();
}

int run(std::string const& folder)
{
    site where{daemons, folder};
    runner_settings example;
    example.service_ = "tanager-pool";
    example.events_ = 80;
    example.event_gap_ = 120ms;
    where.add_runners(runners, example);
    if (!where.start({{"r-note", "/note/", "stream", "tanager-pool", 15000,
                       1200, 2, true}}))
    {
        return finish(where.log(), verdict::not_run, "cannot start");
    }
    std::vector<std::unique_ptr<reader>> readers;
    std::vector<std::thread> threads;
    constexpr int wanted = 40;
    start_readers(where, readers, threads, wanted);
    wait_for([&] { return all_have_begun(readers); }, 3s);
    std::this_thread::sleep_for(200ms);
    if (has_trouble())
    {
        kill_one(where);
    }
    // New streams at the same time.
    start_readers(where, readers, threads, 12);
    for (auto& each : threads)
    {
        each.join();
    }
    return judge(where.log(), count(readers));
}

} // namespace

} // namespace tanagerlead::review

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::cerr << "streams_after_kill FOLDER\n";
        return 2;
    }
    return tanagerlead::review::run(argv[1]);
}
