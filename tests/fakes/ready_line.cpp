#include "tests/fakes/ready_line.hpp"

#include <csignal>
#include <cstdio>

namespace tanagerlead::fakes
{

namespace
{

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void print_ready(base::address const& http, base::address const& control)
{
    std::printf("{\"ready\":true,\"http\":\"%s\",\"control\":\"%s\"}\n",
                http.str().c_str(), control.str().c_str());
    std::fflush(stdout);
}

void block_stop_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal()
{
    auto const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace tanagerlead::fakes
