#include "src/base/clock.hpp"
#include "src/peer/envelope.hpp"
#include "tests/membership/swim_network.hpp"

#include <cstdio>
#include <ctime>
#include <vector>

/// Control cost of membership by the number of members: bytes a second that a
/// member sends, processor time and size of what it keeps. Virtual time; the
/// processor time is this process's own. Prints a table and linear fits.
namespace
{

using namespace tanagerlead;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 1;
constexpr auto settling = 180s;
constexpr auto measured = 30s;
// IPv4 and UDP headers.
constexpr double header_bytes = 28;

struct sample
{
    double members_ = 0;
    double bytes_per_second_ = 0;
    double messages_per_second_ = 0;
    double core_percent_ = 0;
};

double processor_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) +
           static_cast<double>(spent.tv_nsec) * 1e-9;
}

double envelope_bytes()
{
    peer::envelope const empty{
        peer::message_kind::membership, base::daemon_id{"daemon-000"}, 1, {}};
    return static_cast<double>(peer::seal("secret", empty).size());
}

/// Seconds to seal and open one message.
double envelope_seconds()
{
    constexpr int rounds = 20000;
    peer::envelope const message{peer::message_kind::membership,
                                 base::daemon_id{"daemon-000"}, 1,
                                 std::string(400, 'x')};
    auto const start = processor_seconds();
    for (int i = 0; i < rounds; ++i)
    {
        auto const opened = peer::open("secret", peer::seal("secret", message));
        if (!opened)
        {
            std::abort();
        }
    }
    return (processor_seconds() - start) / rounds;
}

sample measure(std::size_t members, base::duration restart_every)
{
    membership::swim_network network{seed};
    for (std::size_t i = 0; i < members; ++i)
    {
        network.add("daemon-" + std::to_string(i));
    }
    network.run(settling);
    auto const bytes_before = network.bytes();
    auto const messages_before = network.messages();
    auto const time_before = processor_seconds();
    std::uint64_t life = 2;
    auto left = base::duration{measured};
    while (left > base::duration::zero())
    {
        auto const step = std::min<base::duration>(left, restart_every);
        network.run(step);
        left -= step;
        if (restart_every < measured)
        {
            network.restart(life % members, life);
            ++life;
        }
    }
    auto const n = static_cast<double>(members);
    auto const s = base::seconds(measured);
    auto const messages =
        static_cast<double>(network.messages() - messages_before) / n / s;
    auto const payload =
        static_cast<double>(network.bytes() - bytes_before) / n / s;
    sample out;
    out.members_ = n;
    out.messages_per_second_ = messages;
    out.bytes_per_second_ =
        payload + messages * (header_bytes + envelope_bytes());
    out.core_percent_ = 100 * ((processor_seconds() - time_before) / n / s +
                               messages * envelope_seconds());
    return out;
}

void print_fit(char const* name, std::vector<sample> const& samples,
               double sample::*value)
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (auto const& s : samples)
    {
        n += 1;
        sx += s.members_;
        sy += s.*value;
        sxx += s.members_ * s.members_;
        sxy += s.members_ * (s.*value);
    }
    auto const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    auto const base_value = (sy - slope * sx) / n;
    std::printf("fit %s = %.4g + %.4g * members\n", name, base_value, slope);
}

void run(char const* title, base::duration restart_every)
{
    std::printf("%s\n| members | messages/s | bytes/s sent | core %% |\n"
                "| --- | --- | --- | --- |\n",
                title);
    std::vector<sample> samples;
    for (std::size_t const members : {8, 32, 64, 128, 256, 350})
    {
        samples.push_back(measure(members, restart_every));
        auto const& s = samples.back();
        std::printf("| %.0f | %.2f | %.0f | %.4f |\n", s.members_,
                    s.messages_per_second_, s.bytes_per_second_,
                    s.core_percent_);
        std::fflush(stdout);
    }
    print_fit("bytes/s", samples, &sample::bytes_per_second_);
    print_fit("core %", samples, &sample::core_percent_);
}

struct fault_result
{
    /// Until every survivor knows; negative when the time was not enough.
    double known_after_s_ = -1;
    double worst_bytes_per_second_ = 0;
};

/// Runs second by second until `known` holds.
template <class Known>
fault_result watch(membership::swim_network& network, std::size_t senders,
                   Known const& known)
{
    constexpr int longest_s = 120;
    fault_result out;
    for (int s = 1; s <= longest_s; ++s)
    {
        auto const bytes = network.bytes();
        auto const messages = network.messages();
        network.run(1s);
        auto const sent = static_cast<double>(network.bytes() - bytes) +
                          static_cast<double>(network.messages() - messages) *
                              (header_bytes + envelope_bytes());
        out.worst_bytes_per_second_ = std::max(
            out.worst_bytes_per_second_, sent / static_cast<double>(senders));
        if (out.known_after_s_ < 0 && known())
        {
            out.known_after_s_ = s;
            break;
        }
    }
    return out;
}

void print(char const* what, fault_result const& result)
{
    std::printf("| %s | %.0f | %.0f |\n", what, result.known_after_s_,
                result.worst_bytes_per_second_);
    std::fflush(stdout);
}

void run_faults()
{
    constexpr std::size_t members = 350;
    constexpr std::size_t lost = 18;
    constexpr std::size_t region = 58;
    membership::swim_network network{seed};
    for (std::size_t i = 0; i < members; ++i)
    {
        network.add("daemon-" + std::to_string(i));
    }
    network.run(settling);
    std::printf("350 members\n| fault | known to all after s | bytes/s a "
                "member, worst second |\n| --- | --- | --- |\n");
    for (std::size_t i = members - lost; i < members; ++i)
    {
        network.stop(i);
    }
    print("data centre of 18 lost",
          watch(network, members - lost,
                [&]
                {
                    for (std::size_t a = 0; a < members - lost; ++a)
                    {
                        for (std::size_t b = members - lost; b < members; ++b)
                        {
                            if (network.state(a, b) !=
                                membership::member_state::dead)
                            {
                                return false;
                            }
                        }
                    }
                    return true;
                }));
    for (std::size_t i = members - lost; i < members; ++i)
    {
        network.resume(i);
    }
    print("its return",
          watch(network, members, [&] { return network.converged(); }));
    for (std::size_t a = 0; a < region; ++a)
    {
        for (std::size_t b = region; b < members; ++b)
        {
            network.cut(a, b);
            network.cut(b, a);
        }
    }
    network.run(60s);
    network.heal();
    print("a region of 58 heals after a cut of 60 s",
          watch(network, members, [&] { return network.converged(); }));
}

} // namespace

int main(int argc, char**)
{
    if (argc > 1)
    {
        run_faults();
        return 0;
    }
    constexpr auto never = 24h;
    // Many times the design's 741 a day, so that the slope shows.
    constexpr auto often = 5s;
    run("Steady", never);
    run("One restart every 5 s", often);
    return 0;
}
