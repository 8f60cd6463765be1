#pragma once

#include "src/cell/cell_map.hpp"
#include "src/request/dispatcher.hpp"

#include <deque>
#include <map>
#include <optional>

namespace tanagerlead::cell
{

/// What was decided on one request, for operators.
struct request_trace
{
    base::request_id request_;
    base::workspace_id workspace_;
    base::pool_id pool_;
    base::tier tier_{};
    /// Cell where it waited last.
    base::cell_id cell_;
    /// Owner of that cell when the request came to it.
    base::daemon_id owner_;
    /// Requests waiting in the cell then.
    std::size_t waiting_ahead_ = 0;
    base::time_point submitted_;
    /// Unset while it waits.
    std::optional<base::time_point> decided_at_;
    std::optional<request::decision> decision_;
    /// Who decided.
    base::daemon_id decided_by_;
    /// Decided from the standing share, the owner being silent.
    bool from_share_ = false;
    /// Grants that led to no dispatch and were followed by another try.
    int tries_ = 0;
    std::optional<sched::dispatch_event> last_event_;
};

/// The traces of the latest requests; older ones are forgotten.
class trace_log
{
public:
    static constexpr std::size_t most_traces = 10000;

    /// The trace of the request, made when there is none.
    request_trace& at(base::request_id request);
    request_trace const* find(base::request_id request) const;

private:
    std::map<base::request_id, request_trace> traces_;
    std::deque<base::request_id> order_;
};

} // namespace tanagerlead::cell
