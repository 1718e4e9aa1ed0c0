/// @file
/// Fenced writer of one partition with group commit: everything that is written while an append is
/// under way goes out with the next one. Only the newest value of a key is written.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

class journal {
public:
    struct options {
        std::string topic;
        int partition = 0;
        std::string writer;             // the same for all owners of the partition
        std::int64_t epoch = 0;         // higher than that of every earlier owner
        std::int64_t pace_ms = 8;       // shortest time between two appends; keeps below the store's rate
        std::string marker = "~owner";  // written when an action waits and no value does
        std::string marker_value = "-";
    };

    /// @param lost runs once when another owner has written with a higher epoch
    journal(event_loop& loop, log_store& store, options options, std::function<void()> lost);
    ~journal();
    journal(const journal&) = delete;
    journal& operator=(const journal&) = delete;
    journal(journal&&) = delete;
    journal& operator=(journal&&) = delete;

    /// Refuses all writes of earlier owners from now on.
    /// @param done runs once the store has taken the epoch
    void open(std::function<void()> done);
    /// @param value none: drops the key
    void put(const std::string& key, std::optional<std::string> value);
    /// Runs @p action once everything that was put before is stored, and the store has taken a write of this
    /// epoch since.
    void when_stored(std::function<void()> action);
    /// Monotonic ms since when an append has been without success; 0: none is.
    std::int64_t stalled_since_ms() const { return stalled_since_ms_; }

private:
    void flush();
    void send();
    void on_answer(const append_result& answer);
    void later(std::int64_t delay_ms, void (journal::*action)());

    event_loop& loop_;
    log_store& store_;
    options options_;
    std::function<void()> lost_;
    std::function<void()> opened_;
    std::map<std::string, std::optional<std::string>> waiting_;
    std::vector<std::function<void()>> actions_;
    append_request batch_;
    std::vector<std::function<void()>> batch_actions_;
    bool open_ = false;
    bool closed_ = false;
    bool in_flight_ = false;
    bool scheduled_ = false;
    std::int64_t sequence_ = 0;
    std::int64_t last_send_ms_ = 0;
    std::int64_t first_send_ms_ = 0;  // of the append under way
    int tries_ = 0;
    std::int64_t stalled_since_ms_ = 0;
    timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
