#include "standin.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::event_loop;
using waxwingnotch::http_exchange_ptr;
using waxwingnotch::timer;

struct stored_record {
    std::int64_t appended_at = 0;
    std::string bytes;
};

/// Faults of the log; all off by default.
struct log_faults {
    bool down = false;                // connections are dropped without an effect
    std::int64_t slow_ms = 0;         // answers are held back
    std::int64_t lose_answers = 0;    // next appends take effect, their answers do not arrive
    std::int64_t refuse_appends = 0;  // next appends are dropped without an effect
};

/// A reader that waits for the next record.
struct waiting_reader {
    http_exchange_ptr exchange;
    std::int64_t from = 0;
    std::int64_t max = 0;
    timer timeout;
};

class log_role : public role {
public:
    log_role(event_loop& loop, const log_options& options) : loop_(loop), options_(options) {}

    void handle(const http_exchange_ptr& exchange) override
    {
        if (exchange->path() == "/fault") {
            set_faults(exchange);
            return;
        }
        if (faults_.down) {
            exchange->drop();
            return;
        }
        if (faults_.slow_ms == 0) {
            serve(exchange);
            return;
        }
        auto held = std::make_shared<timer>();
        *held = loop_.after(faults_.slow_ms, [this, exchange, held] {
            serve(exchange);
            held->cancel();
        });
    }

private:
    std::int64_t end() const { return first_ + static_cast<std::int64_t>(records_.size()); }

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
        const json body = json::parse(exchange->body(), nullptr, false);
        if (body.is_discarded()) {
            exchange->reply(400, {}, "not JSON");
            return;
        }
        faults_.down = body.value("down", faults_.down);
        faults_.slow_ms = body.value("slow_ms", faults_.slow_ms);
        faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
        faults_.refuse_appends = body.value("refuse_appends", faults_.refuse_appends);
        options_.retention_records = body.value("retention_records", options_.retention_records);
        if (body.value("disconnect_readers", false) || faults_.down) {
            for (waiting_reader& reader : readers_) {
                reader.exchange->drop();
            }
            readers_.clear();
        }
        enforce_retention();
        exchange->reply(200, {}, "{}");
    }

    void append(const http_exchange_ptr& exchange)
    {
        const std::int64_t now = waxwingnotch::wall_ms();
        if (now / 1000 != second_) {
            second_ = now / 1000;
            appends_in_second_ = 0;
        }
        if (++appends_in_second_ > options_.max_appends_per_s) {
            exchange->reply(429, {}, "too many appends");
            return;
        }
        if (faults_.refuse_appends > 0) {
            --faults_.refuse_appends;
            exchange->drop();
            return;
        }
        const std::int64_t offset = end();
        records_.push_back({now, exchange->body()});
        enforce_retention();
        if (faults_.lose_answers > 0) {
            --faults_.lose_answers;
            exchange->drop();
        }
        else {
            exchange->reply(200, {}, json{{"offset", offset}, {"appended_at", now}}.dump());
        }
        wake_readers();
    }

    void enforce_retention()
    {
        while (static_cast<std::int64_t>(records_.size()) > options_.retention_records) {
            records_.pop_front();
            ++first_;
        }
    }

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
                answer(reader.exchange, reader.from, reader.max);
            });
            return;
        }
        answer(exchange, from, max);
    }

    void wake_readers()
    {
        const std::list<waiting_reader> readers = std::move(readers_);
        readers_.clear();
        for (const waiting_reader& reader : readers) {
            answer(reader.exchange, reader.from, reader.max);
        }
    }

    void answer(const http_exchange_ptr& exchange, std::int64_t from, std::int64_t max)
    {
        const waxwingnotch::http_headers headers = {{"X-Log-First", std::to_string(first_)},
                                                    {"X-Log-End", std::to_string(end())}};
        if (from < first_) {
            exchange->reply(410, headers, "offset is no longer kept");
            return;
        }
        json items = json::array();
        for (std::int64_t offset = from; offset < std::min(end(), from + max); ++offset) {
            const stored_record& item = records_[static_cast<std::size_t>(offset - first_)];
            items.push_back(json::array(
                {offset, item.appended_at, json::binary({item.bytes.begin(), item.bytes.end()})}));
        }
        std::string body;
        json::to_cbor(items, body);
        exchange->reply(200, headers, body);
    }

    event_loop& loop_;
    log_options options_;
    log_faults faults_;
    std::deque<stored_record> records_;
    std::int64_t first_ = 0;
    std::int64_t second_ = 0;
    std::int64_t appends_in_second_ = 0;
    std::list<waiting_reader> readers_;
};

}  // namespace

std::unique_ptr<role> make_log(event_loop& loop, const log_options& options)
{
    return std::make_unique<log_role>(loop, options);
}

}  // namespace standin
