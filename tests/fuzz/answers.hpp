/// @file
/// Targets that send their input over loopback connections, through the real HTTP client and server.
#pragma once

#include <string_view>

namespace waxwingnotch::fuzz {

/// The first byte of the input selects a call to the store, a worker, the policy service or the host service;
/// the second one the status of the answer. The rest is the answer's body.
bool read_answer(std::string_view input);
/// Sends the input as a request to an HTTP server, as raw bytes.
bool read_http_request(std::string_view input);
/// Answers a request of the HTTP client with the input, as raw bytes.
bool read_http_answer(std::string_view input);

}  // namespace waxwingnotch::fuzz
