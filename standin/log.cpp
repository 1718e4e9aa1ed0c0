#include "standin.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <deque>
#include <list>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::event_loop;
using waxwingnotch::http_exchange_ptr;
using waxwingnotch::timer;

constexpr std::int64_t max_appends_per_s = 500;  // further appends get 429

struct stored_record {
    std::int64_t appended_at = 0;
    std::string bytes;
};

/// A reader that waits for the next record.
struct waiting_reader {
    http_exchange_ptr exchange;
    std::int64_t from = 0;
    std::int64_t max = 0;
    timer timeout;
};

class log_role {
public:
    log_role(event_loop& loop, std::int64_t retention) : loop_(loop), retention_(retention) {}

    void handle(const http_exchange_ptr& exchange)
    {
        if (exchange->path() == "/fault") {
            set_faults(exchange);
        }
        else if (exchange->path() == "/archive") {
            answer(exchange, 0, end(), 0);
        }
        else if (faults_.value("down", false)) {
            exchange->close_without_reply();
        }
        else {
            auto held = std::make_shared<timer>();
            *held = loop_.after(faults_.value("slow_ms", 0), [this, exchange, held] {
                serve(exchange);
                held->cancel();
            });
        }
    }

private:
    std::int64_t end() const { return static_cast<std::int64_t>(records_.size()); }

    void serve(const http_exchange_ptr& exchange)
    {
        if (exchange->path() == "/log/records" && exchange->method() == "POST") {
            append(exchange);
        }
        else if (exchange->path() == "/log/records") {
            read(exchange);
        }
        else {
            exchange->reply(404, {}, "unknown path");
        }
    }

    void set_faults(const http_exchange_ptr& exchange)
    {
        take_faults(faults_, exchange);
        retention_ = faults_.value("retention_records", retention_);
        if (faults_.value("down", false)) {
            for (waiting_reader& reader : readers_) {
                reader.exchange->close_without_reply();
            }
            readers_.clear();
        }
        enforce_retention();
    }

    /// True for as many calls as the fault says.
    bool use_up(const char* fault)
    {
        const int left = faults_.value(fault, 0);
        faults_[fault] = std::max(0, left - 1);
        return left > 0;
    }

    void append(const http_exchange_ptr& exchange)
    {
        const std::int64_t now = waxwingnotch::wall_ms();
        if (now / 1000 != second_) {
            second_ = now / 1000;
            appends_in_second_ = 0;
        }
        if (++appends_in_second_ > max_appends_per_s) {
            exchange->reply(429, {}, "too many appends");
            return;
        }
        if (use_up("refuse_appends")) {
            exchange->close_without_reply();
            return;
        }
        const std::int64_t offset = end();
        records_.push_back({now, exchange->body()});
        enforce_retention();
        if (use_up("lose_answers")) {
            exchange->close_without_reply();
        }
        else {
            exchange->reply(200, {}, json{{"offset", offset}, {"appended_at", now}}.dump());
        }
        wake_readers();
    }

    void enforce_retention() { first_ = std::max(first_, end() - retention_); }

    void read(const http_exchange_ptr& exchange)
    {
        const std::int64_t from = std::stoll(exchange->query("from").value_or("0"));
        const std::int64_t max = std::stoll(exchange->query("max").value_or("1000"));
        const std::int64_t wait_ms = std::stoll(exchange->query("wait_ms").value_or("0"));
        if (from >= end() && from >= first_ && wait_ms > 0) {
            readers_.push_back({exchange, from, max, {}});
            const auto at = std::prev(readers_.end());
            at->timeout = loop_.after(wait_ms, [this, at] {
                const waiting_reader reader = std::move(*at);
                readers_.erase(at);
                answer(reader.exchange, reader.from, reader.max, first_);
            });
            return;
        }
        answer(exchange, from, max, first_);
    }

    void wake_readers()
    {
        const std::list<waiting_reader> readers = std::move(readers_);
        readers_.clear();
        for (const waiting_reader& reader : readers) {
            answer(reader.exchange, reader.from, reader.max, first_);
        }
    }

    /// `/archive` reads from offset 0 whatever the faults and the retention are.
    void answer(const http_exchange_ptr& exchange, std::int64_t from, std::int64_t max, std::int64_t first)
    {
        const waxwingnotch::http_headers headers = {{"X-Log-First", std::to_string(first)},
                                                    {"X-Log-End", std::to_string(end())}};
        if (from < first) {
            exchange->reply(410, headers, "offset is no longer kept");
            return;
        }
        json items = json::array();
        for (std::int64_t offset = from; offset < std::min(end(), from + max); ++offset) {
            const stored_record& item = records_[static_cast<std::size_t>(offset)];
            items.push_back(json::array(
                {offset, item.appended_at, json::binary({item.bytes.begin(), item.bytes.end()})}));
        }
        std::string body;
        json::to_cbor(items, body);
        exchange->reply(200, headers, body);
    }

    event_loop& loop_;
    std::int64_t retention_;  // records
    /// Faults, off by default: down (connections are dropped), slow_ms (answers are held back),
    /// lose_answers (next appends take effect unanswered), refuse_appends (next ones take none).
    json faults_ = json::object();
    std::deque<stored_record> records_;  // all of them; those below first_ are gone for readers
    std::int64_t first_ = 0;
    std::int64_t second_ = 0;
    std::int64_t appends_in_second_ = 0;
    std::list<waiting_reader> readers_;
};

}  // namespace

role make_log(event_loop& loop, std::int64_t retention)
{
    return [self = std::make_shared<log_role>(loop, retention)](
               const waxwingnotch::http_exchange_ptr& exchange) {
        self->handle(exchange);
    };
}

}  // namespace standin
