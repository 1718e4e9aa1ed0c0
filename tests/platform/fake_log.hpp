/// @file
/// An in-memory log with the platform's HTTP interface.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Keeps all entries for the test, but serves only those that retention has left.
class fake_log {
public:
    explicit fake_log(event_loop& loop) : server_(loop)
    {
        server_.handle([this](const http_exchange_ptr& exchange) { answer(*exchange); });
        address = "127.0.0.1:" + std::to_string(server_.listen("127.0.0.1", 0).value());
    }

    /// @return the offset
    std::int64_t append(std::string bytes)
    {
        const auto offset = static_cast<std::int64_t>(entries.size());
        entries.push_back({offset, now++, std::move(bytes)});
        return offset;
    }
    std::int64_t append(const std::string& writer, std::int64_t seq, record item)
    {
        const auto seen = static_cast<std::int64_t>(entries.size());
        return append(encode({writer, 1, seq, seen, {std::move(item)}}));
    }

    std::string address;
    std::vector<log_entry> entries;
    std::int64_t now = 1'000;  // append time of the next record, ms
    std::int64_t first_kept = 0;
    std::int64_t trim_at_read = -1;  // number of the read (from 0) that sets first_kept to trim_to; -1: none
    std::int64_t trim_to = 0;        // first offset that is kept from that read on
    std::int64_t reads = 0;

private:
    void answer(http_exchange& exchange)
    {
        if (reads++ == trim_at_read) {
            first_kept = trim_to;
        }
        const auto end = static_cast<std::int64_t>(entries.size());
        const http_headers headers = {{"X-Log-First", std::to_string(first_kept)},
                                      {"X-Log-End", std::to_string(end)}};
        const std::int64_t from = std::stoll(*exchange.query("from"));
        if (from < first_kept) {
            exchange.reply(410, headers, "");
            return;
        }
        const std::int64_t last = std::min<std::int64_t>(end, from + std::stoll(*exchange.query("max")));
        nlohmann::json items = nlohmann::json::array();
        for (std::int64_t at = from; at < last; ++at) {
            const log_entry& entry = entries[static_cast<std::size_t>(at)];
            items.push_back({entry.offset, entry.appended_at,
                             nlohmann::json::binary({entry.bytes.begin(), entry.bytes.end()})});
        }
        std::string body;
        nlohmann::json::to_cbor(items, body);
        exchange.reply(200, headers, body);
    }

    http_server server_;
};

}  // namespace waxwingnotch
