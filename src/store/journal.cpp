#include "waxwingnotch/store/journal.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <random>
#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms = 60;               // before a failed append is retried
constexpr std::int64_t slow_append_ms = 200;        // slower appends are logged
constexpr std::size_t max_batch_bytes = 1U << 20U;  // half of the store's limit for one call

/// Length of a record in the store: a byte for the length of the key, the key, and the value.
std::size_t record_bytes(const std::string& key, const std::optional<std::string>& value)
{
    return 1 + key.size() + (value ? value->size() : 0);
}

/// Two writers that draw their numbers at random meet in one of them in 1 of 10^13 cases. All numbers have 15
/// digits, so that the length of a call does not depend on the draw, and are exact in a double.
std::int64_t random_first_sequence()
{
    constexpr std::int64_t lowest = 1LL << 47U;
    std::random_device source;
    return std::uniform_int_distribution<std::int64_t>(lowest, 2 * lowest - 1)(source);
}

}  // namespace

journal::journal(event_loop& loop, log_store& store, options options, std::function<void()> on_lost)
    : loop_(loop), store_(store), options_(std::move(options)), on_lost_(std::move(on_lost))
{
}

journal::~journal()
{
    *alive_ = false;
}

void journal::open(std::function<void()> done)
{
    assert(!open_ && !in_flight_ && "journal::open() is called once");
    on_opened_ = std::move(done);
    std::vector<keyed_record> claim;
    if (!options_.claim_key.empty()) {
        claim.push_back({.key = options_.claim_key, .value = options_.claim_value, .offset = -1});
        sequence_ = random_first_sequence();
    }
    batch_ = {.topic = options_.topic,
              .partition = options_.partition,
              .writer = options_.writer,
              .epoch = options_.epoch,
              .sequence = sequence_,
              .records = std::move(claim)};
    send();
}

void journal::put(const std::string& key, std::optional<std::string> value)
{
    if (record_bytes(key, value) > options_.max_record_bytes) {
        refuse({.key = key, .value = std::move(value), .offset = -1}, "longer than the store takes");
        return;
    }
    pending_[key] = std::move(value);
    flush();
}

void journal::when_stored(std::function<void()> action)
{
    pending_actions_.push_back(std::move(action));
    flush();
}

void journal::schedule(std::int64_t delay_ms, void (journal::*action)())
{
    scheduled_ = true;
    timer_ = loop_.after(delay_ms, [this, action] {
        scheduled_ = false;
        (this->*action)();
    });
}

void journal::flush()
{
    if (!open_ || closed_ || in_flight_ || scheduled_ || (pending_.empty() && pending_actions_.empty())) {
        return;
    }
    // Waits at least 1 ms even if the minimum interval has passed, so that values put in the same loop
    // iteration go into one batch.
    const std::int64_t pause = options_.min_append_interval_ms - (monotonic_ms() - last_append_ms_);
    schedule(std::max<std::int64_t>(pause, 1), &journal::send);
}

void journal::send()
{
    if (open_ && !in_flight_) {
        batch_.records.clear();
        std::size_t bytes = 0;
        while (!suspect_ && !pending_.empty() && bytes < max_batch_bytes &&
               batch_.records.size() < max_batch_records_) {
            auto item = pending_.extract(pending_.begin());
            bytes += item.key().size() + (item.mapped() ? item.mapped()->size() : 0);
            batch_.records.push_back({.key = item.key(), .value = std::move(item.mapped()), .offset = -1});
        }
        if (!suspect_ && pending_.empty()) {
            batch_actions_ = std::move(pending_actions_);
            pending_actions_.clear();
        }
        if (batch_.records.empty()) {
            // Only the store can confirm that this writer is not fenced, so the probe record is written even
            // if no value is pending.
            batch_.records.push_back(
                {.key = options_.probe_key, .value = options_.probe_value, .offset = -1});
        }
        batch_.sequence = ++sequence_;
        attempts_ = 0;
    }
    in_flight_ = true;
    last_append_ms_ = monotonic_ms();
    first_attempt_ms_ = attempts_++ == 0 ? last_append_ms_ : first_attempt_ms_;
    store_.append(batch_, [this, alive = alive_](const append_result& answer) {
        if (*alive) {
            on_append_result(answer);
        }
    });
}

void journal::on_append_result(const append_result& answer)
{
    // Without its offsets, a success does not tell whether it belongs to this append.
    const bool complete = answer.end_offset >= 0 && (answer.offset >= 0 || batch_.records.empty());
    if (answer.status == store_status::ok && complete) {
        if (!follows(answer)) {
            close(answer, "unexpected offset");
            return;
        }
        on_append_stored(answer);
        return;
    }
    if (answer.status == store_status::rejected && isolate_rejected()) {
        return;
    }
    if (answer.status == store_status::fenced || answer.status == store_status::wrong_sequence ||
        answer.status == store_status::rejected) {
        // A wrong sequence number means that another process writes with this epoch.
        close(answer, to_string(answer.status));
        return;
    }
    // The retry sends the same records with the same sequence number, so an append that was carried out is
    // not applied twice.
    if (stalled_since_ms_ == 0) {
        stalled_since_ms_ = monotonic_ms();
    }
    schedule(retry_ms, &journal::send);
}

/// Looks for the record because of which the store has rejected the append in flight: sends fewer records at
/// a time, and the probe record after one that was rejected alone. Nothing was stored, so the sequence number
/// is free again.
/// @return false if the store rejects the probe record too, or the registration
bool journal::isolate_rejected()
{
    if (!open_ || suspect_) {
        return false;
    }
    in_flight_ = false;
    --sequence_;
    max_batch_records_ = std::max<std::size_t>(batch_.records.size() / 2, 1);
    if (batch_.records.size() == 1) {
        suspect_ = std::move(batch_.records.front());
    }
    else {
        for (keyed_record& record : batch_.records) {
            pending_.try_emplace(std::move(record.key), std::move(record.value));
        }
    }
    batch_.records.clear();
    pending_actions_.insert(pending_actions_.begin(), std::make_move_iterator(batch_actions_.begin()),
                            std::make_move_iterator(batch_actions_.end()));
    batch_actions_.clear();
    schedule(options_.min_append_interval_ms, &journal::send);
    return true;
}

void journal::refuse(const keyed_record& record, const char* reason)
{
    log_event(log_level::error, "record_refused",
              {{"topic", options_.topic},
               {"partition", options_.partition},
               {"epoch", options_.epoch},
               {"key", record.key},
               {"bytes", record_bytes(record.key, record.value)},
               {"reason", reason}});
    if (options_.on_refused) {
        options_.on_refused(record.key);
    }
}

/// Whether a success can belong to the append in flight. Another process that writes with the same epoch and
/// sequence numbers (both begin at 0 without a claim) gets the answers of this one as repeats, and the store
/// drops its records; only the offsets tell.
bool journal::follows(const append_result& answer) const
{
    if (!open_) {
        return true;
    }
    const auto records = static_cast<std::int64_t>(batch_.records.size());
    if (options_.sole_writer) {
        return answer.offset == end_offset_ && answer.end_offset == answer.offset + records;
    }
    return answer.offset >= end_offset_ && answer.end_offset >= answer.offset + records;
}

void journal::close(const append_result& answer, const char* reason)
{
    closed_ = true;
    log_event(log_level::warning, "journal_lost",
              {{"topic", options_.topic},
               {"partition", options_.partition},
               {"epoch", options_.epoch},
               {"sequence", batch_.sequence},
               {"expected", answer.expected_sequence},
               {"expected_offset", end_offset_},
               {"offset", answer.offset},
               {"end", answer.end_offset},
               {"records", batch_.records.size()},
               {"reason", reason}});
    on_lost_();
}

void journal::on_append_stored(const append_result& answer)
{
    const std::int64_t now = monotonic_ms();
    const std::shared_ptr<bool> alive = alive_;
    in_flight_ = false;
    stalled_since_ms_ = 0;
    // A retry may get the answer that the store gave to an earlier attempt.
    confirmed_ms_ = first_attempt_ms_;
    end_offset_ = answer.end_offset;
    max_batch_records_ = unlimited;
    if (const std::optional<keyed_record> refused = std::exchange(suspect_, std::nullopt)) {
        refuse(*refused, "rejected by the store");
        if (!*alive) {
            return;
        }
    }
    if (now - first_attempt_ms_ > slow_append_ms) {
        log_event(log_level::info, "journal_slow",
                  {{"partition", options_.partition},
                   {"epoch", options_.epoch},
                   {"sequence", batch_.sequence},
                   {"records", batch_.records.size()},
                   {"offset", answer.offset},
                   {"end", answer.end_offset},
                   {"tries", attempts_},
                   {"ms", now - first_attempt_ms_}});
    }
    if (!open_) {
        open_ = true;
        const std::function<void()> opened = std::move(on_opened_);
        opened();
        if (!*alive) {
            return;
        }
    }
    const std::vector<std::function<void()>> ready = std::move(batch_actions_);
    batch_actions_.clear();
    for (const auto& action : ready) {
        if (*alive) {
            action();
        }
    }
    if (*alive) {
        flush();
    }
}

const char* to_string(store_status status)
{
    switch (status) {
    case store_status::ok:
        return "ok";
    case store_status::refused:
        return "refused";
    case store_status::unknown:
        return "no answer";
    case store_status::fenced:
        return "fenced";
    case store_status::wrong_sequence:
        return "unexpected sequence number";
    case store_status::wrong_offset:
        return "unexpected end of the partition";
    case store_status::not_holder:
        return "not the holder";
    case store_status::offset_expired:
        return "no longer kept";
    case store_status::rejected:
        return "rejected";
    }
    return "unnamed";
}

}  // namespace waxwingnotch
