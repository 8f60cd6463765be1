#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace tanagerlead
{

/// One daemon: serves callers and operators, talks to targets, peers and the
/// platform. Used by one thread.
class daemon
{
public:
    /// Takes the text of a settings file (JSON). Null when it is wrong, with
    /// one line for each wrong field in `problems`.
    static std::unique_ptr<daemon> create(std::string const& settings_text,
                                          std::vector<std::string>& problems);

    daemon(daemon const&) = delete;
    daemon& operator=(daemon const&) = delete;
    ~daemon();

    /// Binds its ports and begins to serve. False with a line in `problem`.
    bool start(std::string& problem);

    /// After `start`: "ip:port".
    std::string http_address() const;
    std::string peer_address() const;

    /// Planned stop: takes no new work and finishes what it has, for at most
    /// `longest`. True when nothing was left.
    bool drain(std::chrono::milliseconds longest);
    void stop();

private:
    class impl;
    explicit daemon(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> impl_;
};

} // namespace tanagerlead
