#include "waxwingnotch/store/keyed_follower.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms =
    150;  // after a failed call; several retries fit into the shortest time bound
constexpr std::int64_t largest_answer_kb = 1'024;  // of the store; any record fits
constexpr std::int64_t bytes_per_kb = 1'024;

/// @return size in KB of an answer that holds a later value of the key, but not two of them: those that are
/// stored while the call waits for the link are left to the next read
std::int64_t answer_kb_for(const keyed_record& record)
{
    const auto bytes =
        static_cast<std::int64_t>(record.key.size() + (record.value ? record.value->size() : 0));
    return std::min(bytes * 3 / 2 / bytes_per_kb + 1, largest_answer_kb);
}

std::int64_t size_of(const std::vector<keyed_record>& records)
{
    std::size_t bytes = 0;
    for (const keyed_record& record : records) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
    }
    return static_cast<std::int64_t>(bytes);
}

}  // namespace

keyed_follower::keyed_follower(event_loop& loop, log_store& store, follow_options options, handlers handlers)
    : loop_(loop), store_(store), options_(std::move(options)), handlers_(std::move(handlers)),
      end_offset_(options_.min_end_offset), answer_kb_(options_.max_answer_kb), newest_kb_(largest_answer_kb)
{
}

keyed_follower::~keyed_follower()
{
    *alive_ = false;
}

void keyed_follower::start()
{
    load({});
}

/// Loads the newest record of each key.
/// @param after leaves out the keys up to this one; empty: all keys are loaded
void keyed_follower::load(std::string after)
{
    load_after_ = std::move(after);
    first_page_ = true;
    loaded_keys_.clear();
    load_page(load_after_);
}

void keyed_follower::load_page(const std::string& after)
{
    store_.read_newest(options_.topic, options_.partition, after,
                       [this, after, alive = alive_](const newest_page& page) {
                           if (!*alive) {
                               return;
                           }
                           if (page.status != store_status::ok || stale(page.end_offset)) {
                               delay_timer_ = loop_.after(retry_ms, [this, after] { load_page(after); });
                               return;
                           }
                           on_newest_page(after, page);
                       });
}

/// Notes the end of the partition in an answer. Records that were there before may be missing from a stale
/// answer, so a load would take their keys for deleted.
bool keyed_follower::stale(std::int64_t end_offset)
{
    if (end_offset >= end_offset_) {
        end_offset_ = end_offset;
        return false;
    }
    if (!stale_logged_) {
        stale_logged_ = true;
        log_event(log_level::warning, "follow",
                  {{"topic", options_.topic},
                   {"partition", options_.partition},
                   {"outcome", "read again"},
                   {"reason", "the answer is older than what the store held before"},
                   {"end", end_offset},
                   {"expected_end", end_offset_}});
    }
    return true;
}

void keyed_follower::on_newest_page(const std::string& after, const newest_page& page)
{
    if (first_page_) {
        // The pages do not form a snapshot. Reading continues at the end offset of the first page, which
        // covers all changes made while the later pages load. Of a key that is left out, records before that
        // offset may still be unread.
        first_page_ = false;
        loaded_offset_ = page.end_offset;
        if (load_after_.empty()) {
            next_offset_ = page.end_offset;
        }
    }
    const std::shared_ptr<bool> alive = alive_;
    for (const keyed_record& record : page.records) {
        loaded_keys_.insert(record.key);
        live_keys_.insert(record.key);
        note_size(record);
        handlers_.record(record);
        if (!*alive) {
            return;
        }
    }
    if (page.more && !page.records.empty()) {
        const std::string& last = page.records.back().key;
        if (last <= after) {
            // A store whose pages do not advance is asked again after a while, not in a loop.
            delay_timer_ = loop_.after(retry_ms, [this, after] { load_page(after); });
            return;
        }
        load_page(last);
        return;
    }
    finish_load();
}

void keyed_follower::finish_load()
{
    const auto first = load_after_.empty() ? live_keys_.begin() : live_keys_.upper_bound(load_after_);
    for (auto at = first; at != live_keys_.end();) {
        if (loaded_keys_.contains(*at)) {
            ++at;
            continue;
        }
        const std::string key = *at;
        at = live_keys_.erase(at);
        handlers_.record({.key = key, .value = std::nullopt, .offset = -1});
    }
    loaded_keys_.clear();
    const std::shared_ptr<bool> alive = alive_;
    if (handlers_.after_read) {
        handlers_.after_read();
    }
    if (*alive) {
        read_next();
    }
}

void keyed_follower::schedule_read(std::int64_t delay_ms)
{
    if (delay_ms <= 0) {
        read_next();
        return;
    }
    delay_timer_ = loop_.after(delay_ms, [this] { read_next(); });
}

void keyed_follower::read_next()
{
    read_sent_ms_ = monotonic_ms();
    const read_request request{.topic = options_.topic,
                               .partition = options_.partition,
                               .from_offset = next_offset_,
                               .wait_ms = options_.long_poll_ms,
                               .max_kb = answer_kb_};
    store_.read(request, [this, alive = alive_](const read_result& read) {
        if (*alive) {
            on_read_result(read);
        }
    });
}

/// Loads again if the store has dropped the offset, and reads again if there is no usable answer. @return
/// whether the answer has failed
bool keyed_follower::repeat_if_failed(const read_result& read)
{
    if (read.status == store_status::offset_expired) {
        log_event(
            log_level::info, "follow",
            {{"topic", options_.topic}, {"outcome", "reload"}, {"reason", "the store dropped its history"}});
        start();
        return true;
    }
    if (read.status != store_status::ok || stale(read.end_offset)) {
        schedule_read(retry_ms);
        return true;
    }
    return false;
}

void keyed_follower::on_read_result(const read_result& read)
{
    if (repeat_if_failed(read) || !hand_over(read.records)) {
        return;
    }
    finish_read(read);
}

/// @return false if a handler has destroyed this object
bool keyed_follower::hand_over(const std::vector<keyed_record>& records)
{
    const std::shared_ptr<bool> alive = alive_;
    for (const keyed_record& record : records) {
        next_offset_ = record.offset + 1;
        if (record.offset < loaded_offset_ && record.key != options_.newest_only_key) {
            continue;
        }
        if (record.value) {
            live_keys_.insert(record.key);
        }
        else {
            live_keys_.erase(record.key);
        }
        note_size(record);
        handlers_.record(record);
        if (!*alive) {
            return false;
        }
    }
    return true;
}

void keyed_follower::finish_read(const read_result& read)
{
    if (next_offset_ >= read.end_offset) {
        complete_until_ms_ = read_sent_ms_;
        // A read that has waited for its whole time found nothing until then.
        const bool waited = read.records.empty() && monotonic_ms() - read_sent_ms_ >= options_.long_poll_ms;
        known_until_ms_ = read_sent_ms_ + (waited ? options_.long_poll_ms : 0);
    }
    const std::shared_ptr<bool> alive = alive_;
    if (handlers_.after_read) {
        handlers_.after_read();
    }
    if (!*alive) {
        return;
    }
    if (newest_record_due(read)) {
        read_newest_record(read.end_offset);
        return;
    }
    const bool too_small = read.records.empty() && next_offset_ < read.end_offset;
    answer_kb_ = too_small ? largest_answer_kb : options_.max_answer_kb;
    // An answer without records although there are some would be repeated at the speed of the network.
    const std::int64_t pause_ms = read.records.empty() ? retry_ms : 0;
    schedule_read(next_offset_ < read.end_offset ? pause_ms : options_.read_interval_ms);
}

/// Whether the next record did not fit the answer, or the store disregards the size. Records that fit are
/// read in order.
bool keyed_follower::newest_record_due(const read_result& read) const
{
    if (options_.newest_only_key.empty() || next_offset_ >= read.end_offset) {
        return false;
    }
    return read.records.empty() || size_of(read.records) > options_.max_answer_kb * bytes_per_kb;
}

void keyed_follower::note_size(const keyed_record& record)
{
    if (record.key == options_.newest_only_key) {
        newest_kb_ = answer_kb_for(record);
    }
}

/// Reads the last record, whatever its size. It is known to be there, so the read does not wait.
void keyed_follower::read_newest_record(std::int64_t end_offset)
{
    read_sent_ms_ = monotonic_ms();
    const std::int64_t from_offset = end_offset - 1;
    const read_request request{.topic = options_.topic,
                               .partition = options_.partition,
                               .from_offset = from_offset,
                               .wait_ms = 0,
                               .max_kb = newest_kb_};
    store_.read(request, [this, from_offset, alive = alive_](const read_result& read) {
        if (*alive) {
            on_newest_record(from_offset, read);
        }
    });
}

void keyed_follower::on_newest_record(std::int64_t from_offset, const read_result& read)
{
    if (repeat_if_failed(read)) {
        return;
    }
    if (read.records.empty() && newest_kb_ < largest_answer_kb) {
        newest_kb_ = largest_answer_kb;
        read_newest_record(read.end_offset);
        return;
    }
    if (read.records.empty()) {
        schedule_read(retry_ms);
        return;
    }
    const bool skipped = from_offset > next_offset_;
    const bool newest_known = std::ranges::any_of(
        read.records, [this](const keyed_record& record) { return record.key == options_.newest_only_key; });
    if (!hand_over(read.records)) {
        return;
    }
    if (skipped) {
        load(newest_known ? options_.newest_only_key : std::string());
        return;
    }
    finish_read(read);
}

}  // namespace waxwingnotch
