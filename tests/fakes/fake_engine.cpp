#include "tests/fakes/engine_server.hpp"
#include "tests/fakes/fake_main.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <unistd.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address of the traffic port");
ABSL_FLAG(std::string, name, "engine", "name in logs and generated ids");
ABSL_FLAG(double, prefill_tokens_per_s, 8000, "prefill rate, shared");
ABSL_FLAG(double, decode_ms, 20, "decode step of a single sequence, ms");
ABSL_FLAG(double, decode_growth, 0.05, "part of it that a sequence adds");
ABSL_FLAG(int, slots, 8, "most sequences in the batch");
ABSL_FLAG(std::int64_t, cache_tokens, 65536, "size of the prefix cache");
ABSL_FLAG(double, report_lag_ms, 0, "age of the load report, ms");
ABSL_FLAG(double, speed, 1, "multiplies prefill and decode rates");
ABSL_FLAG(int, threads, 256, "most connections at one time");

namespace
{

using namespace tanagerlead;

constexpr int crash_status = 139;

base::duration from_milliseconds(double ms)
{
    return base::from_seconds(ms / 1e3);
}

fakes::engine_settings read_engine_flags()
{
    auto const speed = absl::GetFlag(FLAGS_speed);
    fakes::engine_settings engine;
    engine.prefill_tokens_per_s_ =
        absl::GetFlag(FLAGS_prefill_tokens_per_s) * speed;
    engine.decode_step_ =
        from_milliseconds(absl::GetFlag(FLAGS_decode_ms) / speed);
    engine.decode_growth_ = absl::GetFlag(FLAGS_decode_growth);
    engine.slots_ = absl::GetFlag(FLAGS_slots);
    engine.cache_tokens_ = absl::GetFlag(FLAGS_cache_tokens);
    engine.report_lag_ = from_milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    return engine;
}

int fail(base::error const& error)
{
    std::fprintf(stderr, "fake_engine: %s\n", error.str().c_str());
    return 1;
}

} // namespace

/// A stand-in for a model engine.
int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("stand-in for a model engine");
    absl::ParseCommandLine(argc, argv);
    fakes::block_stop_signals();
    auto const listen =
        fakes::listen_address_or_exit(absl::GetFlag(FLAGS_listen));
    fakes::engine_server engine{{absl::GetFlag(FLAGS_name),
                                 {listen, absl::GetFlag(FLAGS_threads)},
                                 read_engine_flags(),
                                 []
                                 {
                                     ::_exit(crash_status);
                                 }}};
    if (auto const started = engine.start(); !started)
    {
        return fail(started.error());
    }
    fakes::print_ready(engine.address(), engine.control_address());
    fakes::wait_for_stop_signal();
    engine.stop();
    return 0;
}
