#pragma once

#include "fleet.hpp"

#include <random>
#include <set>

namespace review
{

/// What came back for one request.
struct outcome
{
    int status_ = 0;
    /// It ended as its framing says.
    bool is_whole_ = false;
    /// The daemon said that it closes the connection.
    bool says_close_ = false;
    /// Number of the last event, and the text of each.
    int last_event_ = 0;
    std::vector<std::string> events_;
    std::string body_;
};

/// A requester. It asks a directory for addresses and keeps its connection.
class caller
{
public:
    caller(fleet& served, int number, std::string zone);

    /// Sends one request and reads its answer. `resumes` and `last_event` are
    /// set if it takes up a stream.
    outcome send(std::string const& path, std::string const& body,
                 milliseconds limit, std::string const& resumes = {},
                 int last_event = 0);
    /// The next request uses a new connection.
    void leave() { kept_.reset(); }
    /// It closes its connection at this time, in the middle of an answer.
    void leave_at(steady::time_point when) { leave_at_ = when; }
    std::string const& last_id() const { return id_; }
    /// The last request was sent on a connection that had served others.
    bool was_kept() const { return was_kept_; }
    std::mt19937& random() { return random_; }

private:
    bool connect();
    void read_answer(outcome& out, steady::time_point until);
    static void add_events(std::string& pending, outcome& out);

    fleet& fleet_;
    int number_;
    std::string zone_;
    int count_ = 0;
    std::string id_;
    std::mt19937 random_;
    std::vector<address> addresses_;
    steady::time_point keep_until_{};
    address at_;
    std::unique_ptr<connection> kept_;
    bool has_served_ = false;
    bool was_kept_ = false;
    steady::time_point leave_at_ = steady::time_point::max();
};

} // namespace review
