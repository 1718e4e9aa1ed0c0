#include "waxwingnotch/entry/request_trace.hpp"

namespace waxwingnotch {

void request_traces::add(const std::string& request_id, const std::string& service, trace_step step)
{
    const auto [at, added] = traces_.try_emplace(request_id);
    if (added) {
        at->second.service = service;
        order_.push_back(request_id);
    }
    if (at->second.steps.size() < max_steps) {
        at->second.steps.push_back(std::move(step));
    }
    if (order_.size() > max_requests) {
        traces_.erase(order_.front());
        order_.pop_front();
    }
}

const request_trace* request_traces::find(const std::string& request_id) const
{
    const auto found = traces_.find(request_id);
    return found == traces_.end() ? nullptr : &found->second;
}

}  // namespace waxwingnotch
