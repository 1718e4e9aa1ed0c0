/// @file
/// Messages between entry nodes: one CBOR map per WebSocket message.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/peer/membership.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwingnotch {

/// First message on a link, sent by both sides.
struct hello_message {
    heartbeat self;
};

/// Heartbeat, sent every 500 ms.
struct heartbeat_message {
    heartbeat self;
};

/// Log records, contiguous, in offset order.
struct records_message {
    std::vector<log_entry> entries;
};

/// Requests the records from an offset on.
struct records_request_message {
    std::int64_t from = 0;
};

/// A complete state, for a node that requested records which the sender no longer keeps.
struct state_message {
    std::int64_t next_offset = 0;
    std::string bytes;  // from encode_state()
};

/// Queries the node that holds a claim about the claimed request.
struct key_query_message {
    std::uint64_t id = 0;  // of the query
    std::string key;
    std::string request_id;  // request that holds the claim
};

/// Answer to key_query_message. `known` is false if the node knows nothing about the request.
struct key_answer_message {
    std::uint64_t id = 0;  // of the query
    bool known = false;
    std::int32_t status = 0;  // HTTP status of the first answer
    std::string outcome;      // X-Outcome of the first answer
    std::string content_type;
    std::string body;
};

using peer_message = std::variant<hello_message, heartbeat_message, records_message, records_request_message,
                                  state_message, key_query_message, key_answer_message>;

/// @return CBOR bytes
std::string encode(const peer_message& message);

/// @return the message, or `malformed`
result<peer_message> decode_peer_message(std::string_view bytes);

}  // namespace waxwingnotch
