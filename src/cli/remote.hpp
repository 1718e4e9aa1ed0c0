/// @file
/// Calls to the platform and to entry nodes, for commands that wait for the answer.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <string>
#include <vector>

namespace waxwingnotch {

/// Sends one call and runs a loop of its own until the answer is there.
http_answer fetch(const http_call& call);

/// What the log says from a point on.
struct log_fold {
    fleet_state state;
    std::vector<audit_entry> audit;  // every accepted decision that the log still has
};

/// Folds the platform's log up to its end.
/// @return the state, or `unavailable`
result<log_fold> fold_log(const std::string& address);

/// What became of a record that a command appended.
struct append_result {
    int exit_code = 0;
    std::string reason;
};

/// Appends one record and waits for the fold's verdict on it.
/// @param folded the log as it was read before; it is read on
append_result append_and_wait(const std::string& address, const std::string& author, record item,
                              log_fold& folded);

}  // namespace waxwingnotch
