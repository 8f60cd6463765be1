#include "src/cell/trace_log.hpp"

namespace tanagerlead::cell
{

request_trace& trace_log::at(base::request_id request)
{
    auto const [found, fresh] = traces_.try_emplace(request);
    if (fresh)
    {
        found->second.request_ = request;
        order_.push_back(request);
    }
    if (order_.size() > most_traces)
    {
        traces_.erase(order_.front());
        order_.pop_front();
    }
    return found->second;
}

request_trace const* trace_log::find(base::request_id request) const
{
    auto const found = traces_.find(request);
    return found == traces_.end() ? nullptr : &found->second;
}

} // namespace tanagerlead::cell
