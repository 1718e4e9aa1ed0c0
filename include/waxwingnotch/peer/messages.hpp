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

/// First message on a link, in both directions.
struct hello_message {
    heartbeat self;
};

/// Every 500 ms.
struct beat_message {
    heartbeat self;
};

/// Log records, contiguous, in offset order.
struct records_message {
    std::vector<log_entry> entries;
};

/// Asks for the records from an offset on.
struct want_message {
    std::int64_t from = 0;
};

/// A whole state, for a node whose wanted records are gone.
struct state_message {
    std::int64_t next_offset = 0;
    std::string bytes;  // from encode_state()
};

/// Asks the owner of a claim what became of it.
struct ask_key_message {
    std::uint64_t id = 0;  // of the question
    std::string key;
    std::string request_id;  // that holds the claim
};

/// Answers ask_key. `known` is false if the node has nothing on the request.
struct key_message {
    std::uint64_t id = 0;  // of the question
    bool known = false;
    std::int32_t status = 0;  // HTTP status of the first answer
    std::string outcome;      // X-Outcome of the first answer
    std::string content_type;
    std::string body;
};

using peer_message = std::variant<hello_message, beat_message, records_message, want_message, state_message,
                                  ask_key_message, key_message>;

/// @return CBOR bytes
std::string encode(const peer_message& message);

/// @return the message, or `malformed`
result<peer_message> decode_peer_message(std::string_view bytes);

}  // namespace waxwingnotch
