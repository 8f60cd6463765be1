#include "src/base/histogram.hpp"
#include "src/external/etcd_store.hpp"
#include "src/request/kv_claim_store.hpp"
#include "tests/fakes/fake_key_value.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

ABSL_FLAG(int, daemons, 350, "daemons that claim");
ABSL_FLAG(int, seconds, 5, "length of each run");
ABSL_FLAG(int, writes_per_second, 400, "what the key-value service takes");

namespace
{

using namespace tanagerlead;

constexpr int callers = 256;
constexpr double requests_per_second = 9200;
constexpr double non_idempotent_parts[] = {0.01, 0.03, 0.10};

enum class path
{
    /// Each daemon writes its own claims.
    direct,
    /// One daemon a bucket writes for all.
    forwarded,
};

struct figures
{
    int claims_ = 0;
    int refused_ = 0;
    fakes::key_value_log service_;
    base::duration median_{};
    base::duration p99_{};
};

/// Daemons that share one fake service, and callers at a fixed rate.
class run
{
public:
    run(path how, double rate)
        : rate_{rate}, fake_{{"127.0.0.1", 0}, clock_}, store_{start_service()}
    {
        for (int i = 0; i < absl::GetFlag(FLAGS_daemons); ++i)
        {
            daemons_.push_back(std::make_unique<request::kv_claim_store>(
                store_, clock_, wall_time));
            if (how == path::forwarded)
            {
                daemons_.back()->set_forwarder(
                    [this](std::size_t bucket, request::claim const& wanted)
                        -> std::optional<base::result<request::claim>> {
                        return daemons_[bucket % daemons_.size()]->acquire_here(
                            wanted);
                    });
            }
        }
        fake_.set_faults(
            {.writes_per_second_ = absl::GetFlag(FLAGS_writes_per_second)});
    }

    figures measure()
    {
        start_ = clock_.now();
        std::vector<std::thread> threads;
        threads.reserve(callers);
        for (int i = 0; i < callers; ++i)
        {
            threads.emplace_back([this] { call_until_end(); });
        }
        for (auto& thread : threads)
        {
            thread.join();
        }
        return {claims_, refused_, fake_.log(), latency_.quantile(0.5),
                latency_.quantile(0.99)};
    }

private:
    static std::chrono::milliseconds wall_time()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }

    external::etcd_settings start_service()
    {
        auto const started = fake_.start();
        if (!started)
        {
            std::fprintf(stderr, "%s\n", started.error().str().c_str());
            std::exit(1);
        }
        external::etcd_settings settings;
        settings.endpoints_ = {fake_.local_address()};
        return settings;
    }

    void call_until_end()
    {
        auto const total =
            static_cast<int>(rate_ * absl::GetFlag(FLAGS_seconds));
        for (int i = next_++; i < total; i = next_++)
        {
            auto const due = start_ + base::from_seconds(i / rate_);
            std::this_thread::sleep_for(due - clock_.now());
            claim_one(i, due);
        }
    }

    void claim_one(int number, base::time_point due)
    {
        request::claim const wanted{base::workspace_id{"w"},
                                    "key-" + std::to_string(number),
                                    {1, static_cast<std::uint64_t>(number)},
                                    0};
        auto const by = static_cast<std::size_t>(number) % daemons_.size();
        auto const claimed = daemons_[by]->acquire(wanted);
        std::lock_guard const lock{mutex_};
        if (claimed)
        {
            ++claims_;
            // From the planned time, so a late caller is no gain.
            latency_.add(clock_.now() - due);
        }
        else
        {
            ++refused_;
        }
    }

    double rate_;
    base::steady_clock clock_;
    fakes::fake_key_value fake_;
    external::etcd_store store_;
    std::vector<std::unique_ptr<request::kv_claim_store>> daemons_;
    base::time_point start_{};
    std::atomic<int> next_{0};
    std::mutex mutex_;
    int claims_ = 0;
    int refused_ = 0;
    base::duration_histogram latency_;
};

void print(char const* name, double rate, figures const& seen)
{
    auto const length = absl::GetFlag(FLAGS_seconds);
    std::printf(
        "%-10s %6.0f %8d %8d %9.1f %9.1f %9.2f %9.1f %9.1f\n", name, rate,
        seen.claims_, seen.refused_,
        static_cast<double>(seen.service_.writes_) / length,
        static_cast<double>(seen.service_.reads_) / length,
        static_cast<double>(seen.claims_) / std::max(1, seen.service_.writes_),
        base::milliseconds(seen.median_), base::milliseconds(seen.p99_));
    std::fflush(stdout);
}

} // namespace

/// Writes a second of the claims at the rates of the size to design for.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("claims on the fake key-value service");
    absl::ParseCommandLine(argc, argv);
    std::printf("%-10s %6s %8s %8s %9s %9s %9s %9s %9s\n", "path", "rate",
                "claims", "refused", "writes/s", "reads/s", "per write",
                "p50 ms", "p99 ms");
    for (auto const part : non_idempotent_parts)
    {
        auto const rate = requests_per_second * part;
        print("direct", rate, run{path::direct, rate}.measure());
        print("forwarded", rate, run{path::forwarded, rate}.measure());
    }
    return 0;
}
