/// @file
/// Decisions about the most recent requests of this node, for `explain`.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace waxwingnotch {

/// One decision or event of a request.
struct trace_step {
    std::int64_t at = 0;  // wall clock, ms
    std::string text;
};

/// All steps of one request.
struct request_trace {
    std::string service;
    std::vector<trace_step> steps;
};

/// A bounded set of traces; the oldest is evicted first.
class request_traces {
public:
    static constexpr std::size_t max_requests = 5'000;
    static constexpr std::size_t max_steps = 32;  // further steps of one request are dropped

    void add(const std::string& request_id, const std::string& service, trace_step step);
    const request_trace* find(const std::string& request_id) const;

private:
    std::map<std::string, request_trace> traces_;
    std::deque<std::string> order_;
};

}  // namespace waxwingnotch
