#include "waxwingnotch/store/keyed_follower.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms =
    150;  // after a failed call; several retries fit into the shortest time bound
constexpr std::int64_t largest_answer_kb = 1'024;  // of the store; any record fits

}  // namespace

keyed_follower::keyed_follower(event_loop& loop, log_store& store, follow_options options, handlers handlers)
    : loop_(loop), store_(store), options_(std::move(options)), handlers_(std::move(handlers)),
      end_offset_(options_.min_end_offset), answer_kb_(options_.max_answer_kb)
{
}

keyed_follower::~keyed_follower()
{
    *alive_ = false;
}

void keyed_follower::start()
{
    first_page_ = true;
    loaded_keys_.clear();
    load_page({});
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
        // covers all changes made while the later pages load.
        next_offset_ = page.end_offset;
        first_page_ = false;
    }
    const std::shared_ptr<bool> alive = alive_;
    for (const keyed_record& record : page.records) {
        loaded_keys_.insert(record.key);
        live_keys_.insert(record.key);
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
    for (auto at = live_keys_.begin(); at != live_keys_.end();) {
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

void keyed_follower::on_read_result(const read_result& read)
{
    if (read.status == store_status::offset_expired) {
        log_event(
            log_level::info, "follow",
            {{"topic", options_.topic}, {"outcome", "reload"}, {"reason", "the store dropped its history"}});
        start();
        return;
    }
    if (read.status != store_status::ok || stale(read.end_offset)) {
        schedule_read(retry_ms);
        return;
    }
    const std::shared_ptr<bool> alive = alive_;
    for (const keyed_record& record : read.records) {
        next_offset_ = record.offset + 1;
        if (record.value) {
            live_keys_.insert(record.key);
        }
        else {
            live_keys_.erase(record.key);
        }
        handlers_.record(record);
        if (!*alive) {
            return;
        }
    }
    if (next_offset_ >= read.end_offset) {
        complete_until_ms_ = read_sent_ms_;
        // A read that has waited for its whole time found nothing until then.
        const bool waited = read.records.empty() && monotonic_ms() - read_sent_ms_ >= options_.long_poll_ms;
        known_until_ms_ = read_sent_ms_ + (waited ? options_.long_poll_ms : 0);
    }
    if (handlers_.after_read) {
        handlers_.after_read();
    }
    if (*alive) {
        const bool too_small = read.records.empty() && next_offset_ < read.end_offset;
        answer_kb_ = too_small ? largest_answer_kb : options_.max_answer_kb;
        // An answer without records although there are some would be repeated at the speed of the network.
        const std::int64_t pause_ms = read.records.empty() ? retry_ms : 0;
        schedule_read(next_offset_ < read.end_offset ? pause_ms : options_.read_interval_ms);
    }
}

}  // namespace waxwingnotch
