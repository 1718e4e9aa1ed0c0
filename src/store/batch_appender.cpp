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
    auto batch = std::make_shared<std::vector<pending_record>>();
    std::size_t bytes = 0;
    while (batch->size() < pending_.size() && bytes < max_batch_bytes) {
        pending_record& next = pending_[batch->size()];
        bytes += next.record.key.size() + next.record.value.value_or("").size();
        batch->push_back(std::move(next));
    }
    pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(batch->size()));
    send_records(batch, 0, batch->size());
}

/// Appends the records from @p first to before @p end. If the store rejects them, nothing was stored; they
/// are sent in halves then, so that an invalid record fails alone.
void batch_appender::send_records(const std::shared_ptr<std::vector<pending_record>>& batch,
                                  std::size_t first, std::size_t end)
{
    append_request request{.topic = topic_, .partition = partition_};
    for (std::size_t i = first; i < end; ++i) {
        request.records.push_back((*batch)[i].record);
    }
    ++in_flight_;
    last_send_ms_ = monotonic_ms();
    store_.append(request, [this, batch, first, end, alive = alive_](const append_result& answer) {
        if (*alive) {
            --in_flight_;
        }
        if (*alive && answer.status == store_status::rejected && end - first > 1) {
            const std::size_t middle = first + (end - first) / 2;
            send_records(batch, first, middle);
            send_records(batch, middle, end);
            return;
        }
        for (std::size_t i = first; i < end; ++i) {
            (*batch)[i].done(answer.status);
        }
        if (*alive && !pending_.empty() && may_send()) {
            send();
        }
    });
}

}  // namespace waxwingnotch
