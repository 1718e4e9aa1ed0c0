/// @file
/// Appends of many requests to one partition, one append at a time: what arrives while an append is
/// under way goes out with the next one. A slow partition takes its appends one after the other, so
/// one append for each request would pile up there.
#pragma once

#include "waxwingnotch/store/store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace waxwingnotch {

class batch_appender {
public:
    batch_appender(log_store& store, std::string topic, int partition);
    ~batch_appender();
    batch_appender(const batch_appender&) = delete;
    batch_appender& operator=(const batch_appender&) = delete;
    batch_appender(batch_appender&&) = delete;
    batch_appender& operator=(batch_appender&&) = delete;

    /// Appends one record. @p done hears how its append ended; nothing is repeated.
    void append(keyed_record record, std::function<void(store_status)> done);

private:
    struct item {
        keyed_record record;
        std::function<void(store_status)> done;
    };
    bool may_send() const;
    void send();

    log_store& store_;
    std::string topic_;
    int partition_;
    std::size_t in_flight_ = 0;  // appends without an answer
    std::int64_t last_send_ms_ = 0;
    std::vector<item> waiting_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
