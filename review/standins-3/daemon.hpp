#pragma once

#include "review/standins-3/ledger.hpp"
#include "src/base/address.hpp"
#include "src/net/event_loop.hpp"

#include <optional>
#include <sys/types.h>

namespace tanagerlead::review
{

/// The project's daemon as a process of its own, started and watched as the
/// platform does: one that holds more memory than its machine allows is
/// killed, and one that has ended is started again after a short delay.
class daemon
{
public:
    struct place
    {
        std::string program_;
        std::string folder_;
        std::string ip_;
        std::string zone_;
        base::address store_;
        std::vector<std::string> seed_ips_;
    };

    /// `MemoryMb` of the machine, taken as MiB.
    static constexpr double memory_mib = 110;

    /// `out` must outlive the daemon.
    daemon(net::asio::io_context& loop, int number, place where, record& out);
    ~daemon();
    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;

    void start();
    /// SIGKILL; it is not started again before `start`.
    void kill();
    std::string const& ip() const { return place_.ip_; }
    std::string const& name() const { return name_; }
    /// Times that it was killed for its memory or ended by itself.
    int own_ends() const { return own_ends_; }
    /// Most memory that was seen, over all starts.
    double peak_mib() const { return peak_mib_; }

private:
    void watch();
    double resident_mib() const;
    std::string settings_text() const;

    int number_;
    place place_;
    record& record_;
    std::string name_;
    pid_t pid_ = -1;
    int own_ends_ = 0;
    double peak_mib_ = 0;
    std::optional<base::time_point> start_at_;
    net::deadline_timer timer_;
};

/// Port of the callers on each address.
inline constexpr std::uint16_t callers_port = 8221;

} // namespace tanagerlead::review
