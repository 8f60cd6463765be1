#include "tests/process/spawn.hpp"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tanagerlead::process
{

pid_t spawn(std::string const& program,
            std::vector<std::string> const& arguments, int out, int errors)
{
    std::vector<char*> argv{const_cast<char*>(program.c_str())};
    for (auto const& argument : arguments)
    {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, out, STDOUT_FILENO);
    if (errors >= 0)
    {
        posix_spawn_file_actions_adddup2(&actions, errors, STDERR_FILENO);
    }
    // A listening socket that a child inherits goes on taking connections when
    // its owner has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    auto const failed = ::posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                      argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return failed == 0 ? pid : -1;
}

int end_of(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace tanagerlead::process
