#include "waxwingnotch/store/batch_appender.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::size_t max_batch_bytes = 1U << 20U;  // half of the store's limit for one call
// While an append is in flight, another one may be sent after this time. Even a slow store answers an append
// sooner, so the one in flight may be stuck on a dead connection.
constexpr std::int64_t overlap_after_ms = 400;
constexpr std::size_t max_in_flight = 4;  // limit while the store is slow or a connection is dead

}  // namespace

batch_appender::batch_appender(log_store& store, std::string topic, int partition)
    : store_(store), topic_(std::move(topic)), partition_(partition)
{
}

batch_appender::~batch_appender()
{
    *alive_ = false;
}

void batch_appender::append(keyed_record record, std::function<void(store_status)> done)
{
    pending_.push_back({std::move(record), std::move(done)});
    if (may_send()) {
        send();
    }
}

bool batch_appender::may_send() const
{
    return in_flight_ == 0 ||
           (in_flight_ < max_in_flight && monotonic_ms() - last_send_ms_ >= overlap_after_ms);
}

void batch_appender::send()
{
    append_request request{.topic = topic_, .partition = partition_};
    auto handlers = std::make_shared<std::vector<std::function<void(store_status)>>>();
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < pending_.size() && bytes < max_batch_bytes) {
        pending_record& next = pending_[count++];
        bytes += next.record.key.size() + next.record.value.value_or("").size();
        request.records.push_back(std::move(next.record));
        handlers->push_back(std::move(next.done));
    }
    pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
    ++in_flight_;
    last_send_ms_ = monotonic_ms();
    store_.append(request, [this, handlers, alive = alive_](const append_result& answer) {
        if (*alive) {
            --in_flight_;
        }
        for (const auto& done : *handlers) {
            done(answer.status);
        }
        if (*alive && !pending_.empty() && may_send()) {
            send();
        }
    });
}

}  // namespace waxwingnotch
