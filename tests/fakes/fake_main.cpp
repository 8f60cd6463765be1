#include "tests/fakes/fake_main.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace tanagerlead::fakes
{

namespace
{

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void print_ready(base::address const& http, base::address const& control)
{
    std::printf(R"({"ready":true,"http":"%s")", http.str().c_str());
    if (!control.empty())
    {
        std::printf(R"(,"control":"%s")", control.str().c_str());
    }
    std::printf("}\n");
    std::fflush(stdout);
}

void block_stop_signals()
{
    auto const set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    auto const set = stop_signals();
    int received = 0;
    sigwait(&set, &received);
}

base::address listen_address_or_exit(std::string const& text)
{
    auto const parsed = base::parse_address(text);
    if (!parsed)
    {
        std::fprintf(stderr, "--listen: %s\n", parsed.error().str().c_str());
        std::exit(2);
    }
    return parsed.value();
}

} // namespace tanagerlead::fakes
