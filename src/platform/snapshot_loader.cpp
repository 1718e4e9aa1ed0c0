#include "waxwingnotch/platform/snapshot_loader.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/platform/log_follower.hpp"

#include <algorithm>
#include <cassert>

namespace waxwingnotch {

snapshot_loader::snapshot_loader(http_client& client, std::string address)
    : client_(client), address_(std::move(address))
{
}

void snapshot_loader::load(loaded_handler done)
{
    assert(!busy() && "load() called while a search is in progress");
    done_ = std::move(done);
    candidates_.clear();
    chunks_.clear();
    http_call call;
    call.address = address_;
    call.path = "/log/records?from=0&max=1";
    call.timeout_ms = read_timeout_ms;
    client_.send(call, [this](const http_answer& answer) {
        const bool answered = answer.outcome == call_outcome::answered;
        if (answered && answer.status == 200) {
            finish(fleet_state{});
        }
        else if (answered && answer.status == 410) {
            read_log_bounds(answer);
            search_previous_page();
        }
        else {
            finish(fail(error_code::unavailable, "the log at " + address_ + " does not answer"));
        }
    });
}

void snapshot_loader::read_log_bounds(const http_answer& answer)
{
    const auto number = [&](std::string_view header) {
        return std::strtoll(answer.header(header).value_or("0").c_str(), nullptr, 10);
    };
    first_kept_ = std::max<std::int64_t>(number("X-Log-First"), 0);
    search_end_ = number("X-Log-End");
}

void snapshot_loader::read_range(std::int64_t from, std::int64_t to, const entry_visitor& visit,
                                 const range_handler& on_done)
{
    if (from >= to) {
        on_done(boost::outcome_v2::success());
        return;
    }
    http_call call;
    call.address = address_;
    call.path = "/log/records?from=" + std::to_string(from) +
                "&max=" + std::to_string(std::min(to - from, page_entries));
    call.timeout_ms = read_timeout_ms;
    call.reuse_connection = true;
    client_.send(call, [this, to, visit, on_done](const http_answer& answer) {
        handle_range_answer(answer, to, visit, on_done);
    });
}

void snapshot_loader::handle_range_answer(const http_answer& answer, std::int64_t to,
                                          const entry_visitor& visit, const range_handler& on_done)
{
    const bool answered = answer.outcome == call_outcome::answered;
    if (answered && answer.status == 410) {
        const auto first_kept = answer.header("X-Log-First");
        first_kept_ = std::max<std::int64_t>(first_kept_ + 1,
                                             first_kept ? std::strtoll(first_kept->c_str(), nullptr, 10) : 0);
        on_done(fail(error_code::gone, "the log removed records during the search"));
        return;
    }
    const auto entries = answered && answer.status == 200
                             ? decode_entries(answer.body)
                             : fail(error_code::unavailable, "the log at " + address_ + " does not answer");
    if (!entries) {
        on_done(entries.error());
        return;
    }
    if (entries.value().empty()) {
        on_done(fail(error_code::unavailable, "the log lost its newest records"));
        return;
    }
    for (const log_entry& entry : entries.value()) {
        visit(entry);
    }
    read_range(entries.value().back().offset + 1, to, visit, on_done);
}

void snapshot_loader::search_previous_page()
{
    if (search_end_ <= first_kept_) {
        finish(fail(error_code::not_found, "the log has no usable snapshot from its first kept offset " +
                                               std::to_string(first_kept_) + " on"));
        return;
    }
    const std::int64_t from = std::max(first_kept_, search_end_ - page_entries);
    read_range(
        from, search_end_, [this](const log_entry& entry) { collect_candidates(entry); },
        [this, from](const result<void>& read) {
            if (!read && read.error().code != error_code::gone) {
                finish(read.error());
                return;
            }
            if (!read) {
                candidates_.clear();
                search_previous_page();
                return;
            }
            search_end_ = from;
            try_next_candidate();
        });
}

void snapshot_loader::collect_candidates(const log_entry& entry)
{
    const auto value = decode(entry.bytes);
    if (!value) {
        return;
    }
    for (const record& item : value.value().records) {
        const auto* done = std::get_if<snapshot_done>(&item);
        if (done != nullptr && done->first_chunk < entry.offset) {
            candidates_.push_back({*done, value.value().writer, entry.offset});
        }
    }
}

void snapshot_loader::try_next_candidate()
{
    // Skips snapshots whose chunks, or the records after up_to, are no longer kept.
    while (!candidates_.empty() &&
           std::min(candidates_.back().done.first_chunk, candidates_.back().done.up_to) < first_kept_) {
        candidates_.pop_back();
    }
    if (candidates_.empty()) {
        search_previous_page();
        return;
    }
    current_ = std::move(candidates_.back());
    candidates_.pop_back();
    chunks_.clear();
    read_range(
        current_.done.first_chunk, current_.offset + 1,
        [this](const log_entry& entry) { collect_chunks(entry); },
        [this](const result<void>& read) {
            if (!read && read.error().code != error_code::gone) {
                finish(read.error());
                return;
            }
            verify_candidate();
        });
}

void snapshot_loader::collect_chunks(const log_entry& entry)
{
    auto value = decode(entry.bytes);
    if (!value || value.value().writer != current_.writer) {
        return;
    }
    for (record& item : value.value().records) {
        auto* chunk = std::get_if<snapshot_chunk>(&item);
        if (chunk != nullptr && chunk->id == current_.done.id) {
            const std::int64_t index = chunk->index;
            chunks_.try_emplace(index, std::move(*chunk));
        }
    }
}

void snapshot_loader::verify_candidate()
{
    std::vector<snapshot_chunk> chunks;
    for (auto& [index, chunk] : chunks_) {
        chunks.push_back(std::move(chunk));
    }
    chunks_.clear();
    const auto bytes = assemble_snapshot(current_.done, chunks);
    auto state = bytes ? decode_state(bytes.value()) : bytes.error();
    if (state && state.value().next_offset != current_.done.up_to) {
        state = fail(error_code::malformed, "next_offset of its state differs from its up_to");
    }
    if (!state) {
        log_event(log_level::warning, "snapshot-skipped",
                  {{"id", current_.done.id}, {"offset", current_.offset}, {"reason", state.error().message}});
        try_next_candidate();
        return;
    }
    log_event(log_level::info, "snapshot-loaded",
              {{"id", current_.done.id}, {"up_to", current_.done.up_to}, {"bytes", bytes.value().size()}});
    finish(std::move(state));
}

void snapshot_loader::finish(result<fleet_state> outcome)
{
    const loaded_handler done = std::move(done_);
    done_ = nullptr;
    candidates_.clear();
    done(std::move(outcome));
}

}  // namespace waxwingnotch
