/// @file
/// Calls to the platform and to entry nodes, for commands that wait for the answer.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/audit.hpp"
#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <string>
#include <vector>

namespace waxwingnotch {

/// Sends one call and runs a loop of its own until the answer is there.
http_answer fetch(const http_call& call);

/// What the log says.
struct log_fold {
    fleet_state state;
};

/// Folds the platform's log up to its end, from a snapshot if the log has lost its first records.
/// @return the state, `unavailable`, or `not_found` if the log has neither its first records nor a snapshot
result<log_fold> fold_log(const std::string& address);

/// Reads the audit segments of @p state by their offsets and verifies them.
audit_report read_audit(const std::string& address, const fleet_state& state);

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
