#pragma once

#include "src/base/address.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

/// Tests of the real programs as processes of their own.
namespace tanagerlead::process
{

/// A program that prints the ready line of docs/INTERFACES.md. Killed and
/// waited for when destroyed.
class child_process
{
public:
    /// Starts it and waits for its ready line.
    child_process(std::string const& program,
                  std::vector<std::string> const& arguments);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /// False when it ended instead of becoming ready.
    bool is_ready() const { return !http_.empty(); }
    base::address const& http() const { return http_; }
    base::address const& peer() const { return peer_; }
    /// Where a fake takes its faults.
    base::address const& control() const { return control_; }

    void signal(int number) const;
    /// Waits for its end; the exit status, or minus the signal that ended it.
    /// The same again when called again, as a check macro may do.
    int wait();

private:
    void read_ready_line(int descriptor);

    pid_t pid_ = -1;
    int end_ = 0;
    base::address http_;
    base::address peer_;
    base::address control_;
};

} // namespace tanagerlead::process
