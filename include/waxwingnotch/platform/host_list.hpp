/// @file
/// Polls the platform's list of live and leaving hosts. The list lags.
#pragma once

#include "waxwingnotch/net/http_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// One line of the list.
struct listed_host {
    std::string host;
    std::string address;
    bool leaving = false;
};

/// Decodes the list. @return the hosts, or `malformed`
result<std::vector<listed_host>> decode_host_list(std::string_view body);

/// Reads the list again and again; an unchanged one costs only headers where the platform
/// answers `If-None-Match`.
class host_list {
public:
    static constexpr std::int64_t interval_ms = 1'000;

    host_list(event_loop& loop, http_client& client, std::string address,
              std::function<void(const std::vector<listed_host>&)> changed);
    void start();

private:
    void poll();

    event_loop& loop_;
    http_client& client_;
    std::string address_;
    std::function<void(const std::vector<listed_host>&)> changed_;
    std::string etag_;  // of the list that was taken over last
    timer next_;
};

}  // namespace waxwingnotch
