/// @file
/// Blocking calls to the platform and to entry nodes.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/audit.hpp"
#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <string>
#include <vector>

namespace waxwingnotch {

/// Sends one call and blocks until it has ended, in an event loop of its own.
http_answer fetch(const http_call& call);

/// The state that results from folding the log.
struct log_fold {
    fleet_state state;
};

/// Folds the platform's log up to its end. Starts from a snapshot if the log no longer has its first records.
/// @return the state; `unavailable`; or `not_found` if the log has neither its first records nor a snapshot
result<log_fold> fold_log(const std::string& address);

/// Reads the audit segments of @p state by their offsets and verifies them.
audit_report read_audit(const std::string& address, const fleet_state& state);

/// Result of appending a record.
struct append_result {
    int exit_code = 0;
    std::string reason;
};

/// Appends one record and waits for the fold's verdict on it.
/// @param folded the state of the log as read before; updated up to the log's end
append_result append_and_wait(const std::string& address, const std::string& author, record item,
                              log_fold& folded);

}  // namespace waxwingnotch
