#include "waxwingnotch/platform/log_appender.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {
constexpr std::int64_t first_retry_ms = 100;
constexpr std::int64_t longest_retry_ms = 2'000;

/// Rough size of a record in a batch; only snapshot chunks and documents are large.
std::size_t estimated_bytes(const record& item)
{
    if (const auto* chunk = std::get_if<snapshot_chunk>(&item)) {
        return chunk->bytes.size();
    }
    if (const auto* segment = std::get_if<audit_segment>(&item)) {
        return segment->entries.size();
    }
    if (const auto* publish = std::get_if<publish_record>(&item)) {
        return publish->content.size();
    }
    constexpr std::size_t small_record = 256;
    return small_record;
}
}  // namespace

log_appender::log_appender(event_loop& loop, http_client& client, appender_options options)
    : loop_(loop), client_(client), options_(std::move(options))
{
}

ticket log_appender::propose(record item, settlement_handler done)
{
    const ticket id = next_ticket_++;
    if (waiting_.size() >= max_waiting) {
        loop_.defer([done = std::move(done)] {
            if (done) {
                done({false, "too many proposals wait for the log"});
            }
        });
        return id;
    }
    waiting_.push_back({id, std::move(item), std::move(done)});
    if (batch_.empty()) {
        start_batch();
    }
    return id;
}

bool log_appender::withdraw(ticket id)
{
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const proposal& item) { return item.id == id; });
    if (found == waiting_.end()) {
        return false;
    }
    waiting_.erase(found);
    return true;
}

void log_appender::start_batch()
{
    if (waiting_.empty()) {
        return;
    }
    const std::int64_t now = monotonic_ms();
    if (now < next_batch_at_) {
        if (!gap_.pending()) {
            gap_ = loop_.after(next_batch_at_ - now, [this] {
                gap_.cancel();
                if (batch_.empty()) {
                    start_batch();
                }
            });
        }
        return;
    }
    next_batch_at_ = now + append_gap_ms;
    batch value;
    value.writer = options_.writer;
    value.incarnation = options_.incarnation;
    value.seq = ++seq_;
    value.seen_offset = options_.seen_offset();
    std::size_t size = 0;
    while (!waiting_.empty() && batch_.size() < max_batch_records) {
        const std::size_t more = estimated_bytes(waiting_.front().item);
        if (!batch_.empty() && size + more > max_batch_bytes) {
            break;
        }
        size += more;
        value.records.push_back(waiting_.front().item);
        batch_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    unsettled_ = batch_.size();
    batch_bytes_ = encode(value);
    failures_ = 0;
    append();
}

void log_appender::append()
{
    http_call call;
    call.method = "POST";
    call.address = options_.address;
    call.path = "/log/records";
    call.body = batch_bytes_;
    call.timeout_ms = append_timeout_ms;
    call.reuse = true;
    ++appends_;
    bytes_ += batch_bytes_.size();
    const std::int64_t seq = seq_;
    call_ = client_.send(call, [this, seq](const http_answer& answer) {
        if (batch_.empty() || seq != seq_) {
            return;
        }
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            // The follower brings the verdict. If it does not, the append is repeated.
            append_after(settle_timeout_ms);
            return;
        }
        ++failures_;
        append_after(std::min(first_retry_ms << std::min<std::int64_t>(failures_, 6), longest_retry_ms));
    });
}

void log_appender::append_after(std::int64_t delay_ms)
{
    retry_ = loop_.after(delay_ms, [this] { append(); });
}

void log_appender::settle(const verdict& one)
{
    const bool mine = one.writer == options_.writer && one.incarnation == options_.incarnation &&
                      one.seq == seq_ && !batch_.empty();
    if (!mine) {
        return;
    }
    if (one.what == "batch") {
        // Dropped whole. If it were a repeat, the first copy would have settled it.
        log_event(log_level::error, "append-dropped", {{"seq", one.seq}, {"reason", one.reason}});
        std::vector<proposal> dropped = std::move(batch_);
        batch_.clear();
        finish_batch();
        for (const proposal& item : dropped) {
            if (item.done) {
                item.done({false, one.reason});
            }
        }
        return;
    }
    if (one.index >= batch_.size()) {
        return;
    }
    const settlement_handler done = std::move(batch_[one.index].done);
    batch_[one.index].done = nullptr;
    if (--unsettled_ == 0) {
        batch_.clear();
        finish_batch();
    }
    if (done) {
        done({one.accepted, one.reason});
    }
}

void log_appender::finish_batch()
{
    retry_.cancel();
    // A repeat that is still under way must not bring the batch into the log once more.
    client_.cancel(call_);
    start_batch();
}

}  // namespace waxwingnotch
