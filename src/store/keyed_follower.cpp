#include "waxwingnotch/store/keyed_follower.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms = 150;  // after a call that failed; several tries fit the shortest bound

}  // namespace

keyed_follower::keyed_follower(event_loop& loop, log_store& store, follow_options options, handlers handlers)
    : loop_(loop), store_(store), options_(std::move(options)), handlers_(std::move(handlers))
{
}

keyed_follower::~keyed_follower()
{
    *alive_ = false;
}

void keyed_follower::start()
{
    first_page_ = true;
    seen_.clear();
    load_page({});
}

void keyed_follower::load_page(const std::string& after)
{
    store_.newest(options_.topic, options_.partition, after,
                  [this, after, alive = alive_](const newest_page& page) {
                      if (!*alive) {
                          return;
                      }
                      if (page.status != store_status::ok) {
                          pause_ = loop_.after(retry_ms, [this, after] { load_page(after); });
                          return;
                      }
                      on_page(page);
                  });
}

void keyed_follower::on_page(const newest_page& page)
{
    if (first_page_) {
        // Pages are not a snapshot: whatever changes after the first one is read from its end on.
        next_ = page.end;
        first_page_ = false;
    }
    const std::shared_ptr<bool> alive = alive_;
    for (const keyed_record& record : page.records) {
        seen_.insert(record.key);
        known_.insert(record.key);
        handlers_.record(record);
        if (!*alive) {
            return;
        }
    }
    if (page.more && !page.records.empty()) {
        load_page(page.records.back().key);
        return;
    }
    finish_load();
}

void keyed_follower::finish_load()
{
    for (auto at = known_.begin(); at != known_.end();) {
        if (seen_.contains(*at)) {
            ++at;
            continue;
        }
        const std::string key = *at;
        at = known_.erase(at);
        handlers_.record({.key = key, .value = std::nullopt, .offset = -1});
    }
    seen_.clear();
    const std::shared_ptr<bool> alive = alive_;
    if (handlers_.caught_up) {
        handlers_.caught_up();
    }
    if (*alive) {
        read_on();
    }
}

void keyed_follower::read_again(std::int64_t delay_ms)
{
    if (delay_ms <= 0) {
        read_on();
        return;
    }
    pause_ = loop_.after(delay_ms, [this] { read_on(); });
}

void keyed_follower::read_on()
{
    read_sent_ms_ = monotonic_ms();
    const read_request request{options_.topic, options_.partition, next_, options_.wait_ms};
    store_.read(request, [this, alive = alive_](const read_result& read) {
        if (*alive) {
            on_read(read);
        }
    });
}

void keyed_follower::on_read(const read_result& read)
{
    if (read.status == store_status::gone) {
        log_event(
            log_level::info, "follow",
            {{"topic", options_.topic}, {"outcome", "reload"}, {"reason", "the store dropped its history"}});
        start();
        return;
    }
    if (read.status != store_status::ok) {
        read_again(retry_ms);
        return;
    }
    const std::shared_ptr<bool> alive = alive_;
    for (const keyed_record& record : read.records) {
        next_ = record.offset + 1;
        if (record.value) {
            known_.insert(record.key);
        }
        else {
            known_.erase(record.key);
        }
        handlers_.record(record);
        if (!*alive) {
            return;
        }
    }
    if (next_ >= read.end) {
        complete_until_ms_ = read_sent_ms_;
    }
    if (handlers_.caught_up) {
        handlers_.caught_up();
    }
    if (*alive) {
        read_again(next_ < read.end ? 0 : options_.pause_ms);
    }
}

}  // namespace waxwingnotch
