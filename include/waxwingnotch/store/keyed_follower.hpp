/// @file
/// Follows one partition of a keyed topic: first the newest record of each key, then every record
/// that comes. After the store has dropped its history, it reads the newest records again.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace waxwingnotch {

/// How a follower reads.
struct follow_options {
    std::string topic;
    int partition = 0;
    std::int64_t wait_ms = 0;   // each read waits this long for a record; 0: returns at once
    std::int64_t pause_ms = 0;  // between reads
};

class keyed_follower {
public:
    struct handlers {
        std::function<void(const keyed_record& record)> record;  // `value` empty: the key is gone
        std::function<void()> caught_up;                         // after each read that got an answer
    };

    keyed_follower(event_loop& loop, log_store& store, follow_options options, handlers handlers);
    ~keyed_follower();
    keyed_follower(const keyed_follower&) = delete;
    keyed_follower& operator=(const keyed_follower&) = delete;
    keyed_follower(keyed_follower&&) = delete;
    keyed_follower& operator=(keyed_follower&&) = delete;

    void start();
    /// Monotonic ms: every record that the store had then has been handed over; 0 before the first.
    std::int64_t complete_until_ms() const { return complete_until_ms_; }

private:
    void load_page(const std::string& after);
    void finish_load();
    void read_on();
    void read_again(std::int64_t delay_ms);
    void on_page(const newest_page& page);
    void on_read(const read_result& read);

    event_loop& loop_;
    log_store& store_;
    follow_options options_;
    handlers handlers_;
    bool first_page_ = true;
    std::int64_t next_ = 0;
    std::int64_t complete_until_ms_ = 0;
    std::int64_t read_sent_ms_ = 0;  // of the read under way
    std::set<std::string> known_;    // keys that have a value
    std::set<std::string> seen_;     // keys of the load under way
    timer pause_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
