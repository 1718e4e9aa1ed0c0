/// @file
/// Polls the platform's list of live and leaving hosts. The list may be out of date.
#pragma once

#include "waxwingnotch/net/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// One entry of the list.
struct listed_host {
    std::string host;
    std::string address;
    bool leaving = false;
};

/// Decodes the body of a list.
/// @return the hosts, or `malformed`
result<std::vector<listed_host>> decode_host_list(std::string_view body);

/// Polls the list. A platform that supports `If-None-Match` answers without a body while it is unchanged.
class host_list {
public:
    static constexpr std::int64_t interval_ms = 1'000;

    /// @param on_change called with every list that is answered with a body
    host_list(event_loop& loop, http_client& client, std::string address,
              std::function<void(const std::vector<listed_host>&)> on_change);
    void start();

private:
    void poll();

    event_loop& loop_;
    http_client& client_;
    std::string address_;
    std::function<void(const std::vector<listed_host>&)> on_change_;
    std::string etag_;  // of the last list that was decoded
    timer poll_timer_;
};

}  // namespace waxwingnotch
