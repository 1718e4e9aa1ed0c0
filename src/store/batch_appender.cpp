#include "waxwingnotch/store/batch_appender.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::size_t max_batch_bytes = 1U << 20U;  // half of what the store takes in one call
constexpr std::int64_t slow_ms = 400;      // longer than a slow store takes for one append: this one may hang
constexpr std::size_t most_in_flight = 4;  // while the store is slow, or one connection has gone silent

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
    waiting_.push_back({std::move(record), std::move(done)});
    if (may_send()) {
        send();
    }
}

bool batch_appender::may_send() const
{
    return in_flight_ == 0 || (in_flight_ < most_in_flight && monotonic_ms() - last_send_ms_ >= slow_ms);
}

void batch_appender::send()
{
    append_request request{.topic = topic_, .partition = partition_};
    auto handlers = std::make_shared<std::vector<std::function<void(store_status)>>>();
    std::size_t bytes = 0;
    std::size_t taken = 0;
    while (taken < waiting_.size() && bytes < max_batch_bytes) {
        item& next = waiting_[taken++];
        bytes += next.record.key.size() + next.record.value.value_or("").size();
        request.records.push_back(std::move(next.record));
        handlers->push_back(std::move(next.done));
    }
    waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(taken));
    ++in_flight_;
    last_send_ms_ = monotonic_ms();
    store_.append(request, [this, handlers, alive = alive_](const append_result& answer) {
        if (*alive) {
            --in_flight_;
        }
        for (const auto& done : *handlers) {
            done(answer.status);
        }
        if (*alive && !waiting_.empty() && may_send()) {
            send();
        }
    });
}

}  // namespace waxwingnotch
