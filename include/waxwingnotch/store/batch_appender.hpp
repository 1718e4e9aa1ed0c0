/// @file
/// Batches the records of many requests into appends to one partition. Records that arrive while an
/// append is in flight are sent together in the next one. A slow partition processes appends one after
/// the other, so an append per record would build up a queue there.
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

    /// Appends one record. Failed appends are not retried.
    /// @param done receives the status of the append that carried the record; `rejected` only if the store
    ///        takes this record in no append
    void append(keyed_record record, std::function<void(store_status)> done);

private:
    struct pending_record {
        keyed_record record;
        std::function<void(store_status)> done;
    };
    bool may_send() const;
    void send();
    void send_records(const std::shared_ptr<std::vector<pending_record>>& batch, std::size_t first,
                      std::size_t end);

    log_store& store_;
    std::string topic_;
    int partition_;
    std::size_t in_flight_ = 0;  // appends that have not been answered
    std::int64_t last_send_ms_ = 0;
    std::vector<pending_record> pending_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace waxwingnotch
