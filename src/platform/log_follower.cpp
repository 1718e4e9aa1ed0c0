#include "waxwingnotch/platform/log_follower.hpp"

#include "waxwingnotch/base/cbor_reader.hpp"
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwingnotch {

namespace {
constexpr std::int64_t initial_backoff_ms = 100;
constexpr std::int64_t max_backoff_ms = 1'000;
constexpr std::int64_t read_margin_ms = 2'000;  // added to the requested wait

std::int64_t header_number(const http_answer& answer, std::string_view header, std::int64_t fallback)
{
    const auto text = answer.header(header);
    return text ? std::strtoll(text->c_str(), nullptr, 10) : fallback;
}
}  // namespace

result<std::vector<log_entry>> decode_entries(std::string_view body)
{
    using nlohmann::json;
    try {
        std::vector<log_entry> entries;
        for (const json& item : parse_bounded_cbor(body)) {
            const json::binary_t& bytes = item.at(2).get_binary();
            entries.push_back({item.at(0).get<std::int64_t>(), item.at(1).get<std::int64_t>(),
                               std::string(bytes.begin(), bytes.end())});
        }
        return entries;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

log_follower::log_follower(event_loop& loop, http_client& client, std::string address,
                           follower_handlers handlers)
    : loop_(loop), client_(client), address_(std::move(address)), handlers_(std::move(handlers))
{
}

void log_follower::start()
{
    running_ = true;
    poll();
}

void log_follower::stop()
{
    running_ = false;
    poll_timer_.cancel();
    client_.cancel(call_);
}

void log_follower::poll()
{
    http_call call;
    call.address = address_;
    call.path = "/log/records?from=" + std::to_string(handlers_.next_offset()) +
                "&max=" + std::to_string(max_entries) + "&wait_ms=" + std::to_string(poll_wait_ms);
    call.timeout_ms = poll_wait_ms + read_margin_ms;
    call.reuse_connection = true;
    call_ = client_.send(call, [this](const http_answer& answer) { handle_answer(answer); });
}

void log_follower::poll_after(std::int64_t delay_ms)
{
    if (running_) {
        poll_timer_ = loop_.after(delay_ms, [this] { poll(); });
    }
}

void log_follower::handle_answer(const http_answer& answer)
{
    if (!running_) {
        return;
    }
    const bool answered = answer.outcome == call_outcome::answered;
    const bool readable = answered && (answer.status == 200 || answer.status == 410);
    if (readable != reachable_ || last_answer_ms_ == 0) {
        log_event(readable ? log_level::info : log_level::warning,
                  readable ? "log-reachable" : "log-unreachable",
                  {{"log", address_}, {"status", answer.status}});
    }
    reachable_ = readable;
    if (!readable) {
        ++failures_;
        poll_after(std::min(initial_backoff_ms << std::min<std::int64_t>(failures_, 5), max_backoff_ms));
        return;
    }
    failures_ = 0;
    last_answer_ms_ = monotonic_ms();
    log_end_ = header_number(answer, "X-Log-End", log_end_);
    if (answer.status == 410) {
        handlers_.on_offset_gone(header_number(answer, "X-Log-First", 0));
        poll_after(initial_backoff_ms);
        return;
    }
    const auto entries = decode_entries(answer.body);
    if (!entries) {
        log_event(log_level::error, "log-malformed", {{"reason", entries.error().message}});
        poll_after(max_backoff_ms);
        return;
    }
    handlers_.on_entries(entries.value());
    if (running_) {
        poll();
    }
}

}  // namespace waxwingnotch
