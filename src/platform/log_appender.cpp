#include "waxwingnotch/platform/log_appender.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {
constexpr std::int64_t initial_backoff_ms = 100;
constexpr std::int64_t max_backoff_ms = 2'000;

/// Approximate size of a record in a batch; only snapshot chunks, audit segments and documents are large.
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
    constexpr std::size_t small_record_bytes = 256;
    return small_record_bytes;
}
}  // namespace

log_appender::log_appender(event_loop& loop, http_client& client, appender_options options)
    : loop_(loop), client_(client), options_(std::move(options))
{
}

proposal_id log_appender::propose(record item, proposal_handler done)
{
    const proposal_id id = next_id_++;
    if (waiting_.size() >= max_waiting_proposals) {
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

bool log_appender::withdraw(proposal_id id)
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
    if (now < next_batch_at_ms_) {
        if (!batch_timer_.active()) {
            batch_timer_ = loop_.after(next_batch_at_ms_ - now, [this] {
                batch_timer_.cancel();
                if (batch_.empty()) {
                    start_batch();
                }
            });
        }
        return;
    }
    next_batch_at_ms_ = now + append_interval_ms;
    batch value;
    value.writer = options_.writer;
    value.incarnation = options_.incarnation;
    value.seq = ++seq_;
    value.seen_offset = options_.seen_offset();
    std::size_t size = 0;
    while (!waiting_.empty() && batch_.size() < max_batch_records) {
        const std::size_t item_bytes = estimated_bytes(waiting_.front().item);
        if (!batch_.empty() && size + item_bytes > max_batch_bytes) {
            break;
        }
        size += item_bytes;
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
    call.reuse_connection = true;
    ++appends_;
    bytes_ += batch_bytes_.size();
    const std::int64_t seq = seq_;
    call_ = client_.send(call, [this, seq](const http_answer& answer) {
        if (batch_.empty() || seq != seq_) {
            return;
        }
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            // The verdict arrives through the log follower; without one, the append is repeated.
            append_after(verdict_timeout_ms);
            return;
        }
        ++failures_;
        append_after(std::min(initial_backoff_ms << std::min<std::int64_t>(failures_, 6), max_backoff_ms));
    });
}

void log_appender::append_after(std::int64_t delay_ms)
{
    retry_timer_ = loop_.after(delay_ms, [this] { append(); });
}

void log_appender::apply_verdict(const verdict& outcome)
{
    const bool is_own_batch = outcome.writer == options_.writer &&
                              outcome.incarnation == options_.incarnation && outcome.seq == seq_ &&
                              !batch_.empty();
    if (!is_own_batch) {
        return;
    }
    if (outcome.kind == "batch") {
        // The whole batch was dropped, and not as a duplicate: its first copy would have settled it.
        log_event(log_level::error, "append-dropped", {{"seq", outcome.seq}, {"reason", outcome.reason}});
        std::vector<proposal> dropped = std::move(batch_);
        batch_.clear();
        finish_batch();
        for (const proposal& item : dropped) {
            if (item.done) {
                item.done({false, outcome.reason});
            }
        }
        return;
    }
    if (outcome.index >= batch_.size()) {
        return;
    }
    const proposal_handler done = std::move(batch_[outcome.index].done);
    batch_[outcome.index].done = nullptr;
    if (--unsettled_ == 0) {
        batch_.clear();
        finish_batch();
    }
    if (done) {
        done({outcome.accepted, outcome.reason});
    }
}

void log_appender::finish_batch()
{
    retry_timer_.cancel();
    // Cancels a retry in flight, which would append the settled batch once more.
    client_.cancel(call_);
    start_batch();
}

}  // namespace waxwingnotch
