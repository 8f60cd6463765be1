#include "tests/process/child_process.hpp"

#include "tests/process/spawn.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace tanagerlead::process
{

namespace
{

base::address read_address(nlohmann::json const& line, char const* name)
{
    auto const member = line.find(name);
    if (member == line.end())
    {
        return {};
    }
    return base::parse_address(member->get<std::string>()).value();
}

std::string read_line(int descriptor)
{
    std::string line;
    char c = 0;
    while (::read(descriptor, &c, 1) == 1 && c != '\n')
    {
        line += c;
    }
    return line;
}

} // namespace

child_process::child_process(std::string const& program,
                             std::vector<std::string> const& arguments)
{
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0)
    {
        return;
    }
    auto const quiet = std::getenv("TANAGERLEAD_TEST_LOGS") == nullptr;
    auto const errors = quiet ? ::open("/dev/null", O_WRONLY | O_CLOEXEC) : -1;
    pid_ = spawn(program, arguments, ends[1], errors);
    ::close(errors);
    ::close(ends[1]);
    if (pid_ > 0)
    {
        read_ready_line(ends[0]);
    }
    ::close(ends[0]);
}

child_process::child_process(child_process&& other) noexcept
    : pid_{std::exchange(other.pid_, -1)}, end_{other.end_}, http_{std::move(
                                                                 other.http_)},
      peer_{std::move(other.peer_)}, control_{std::move(other.control_)}
{
}

child_process::~child_process()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        wait();
    }
}

void child_process::signal(int number) const
{
    if (pid_ > 0)
    {
        ::kill(pid_, number);
    }
}

int child_process::wait()
{
    if (pid_ > 0)
    {
        int status = 0;
        ::waitpid(std::exchange(pid_, -1), &status, 0);
        end_ = end_of(status);
    }
    return end_;
}

void child_process::read_ready_line(int descriptor)
{
    auto const line =
        nlohmann::json::parse(read_line(descriptor), nullptr, false);
    if (line.is_discarded())
    {
        return;
    }
    http_ = read_address(line, "http");
    peer_ = read_address(line, "peer");
    control_ = read_address(line, "control");
}

} // namespace tanagerlead::process
