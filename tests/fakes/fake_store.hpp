/// @file
/// In-memory log store with keyed partitions, fenced writers and groups. It answers from the event loop, like
/// the real store; tests switch faults on and off.
#pragma once

#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/store/store.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {

class fake_store final : public log_store {
public:
    explicit fake_store(event_loop& loop) : loop_(loop) {}

    // Faults
    bool refuse = false;                       // refuses every call
    bool hang_joins = false;                   // never answers a join
    int lose_answers = 0;                      // number of appends to execute and to report as unanswered
    bool hold_append_answers = false;          // keeps the answers to appends until release_append_answers()
    int hang_appends = 0;                      // number of appends whose handler is never called
    std::deque<append_result> forged_answers;  // to the next appends, which are not executed
    // Appends with a longer record, or with this key, are rejected whole.
    std::size_t most_record_bytes = std::numeric_limits<std::size_t>::max();
    std::string invalid_key;
    std::size_t page_size = 500;  // maximum of records in a page of read_newest()
    // Number of calls of read_newest() for a partition that are answered as if it held no records.
    std::map<std::pair<std::string, int>, int> empty_pages;
    std::map<std::pair<std::string, int>, int> refused_reads;  // number of calls of read() to refuse
    // Longer answers to read() are lost on the way, as on a slow host whose calls time out.
    std::size_t most_read_bytes = std::numeric_limits<std::size_t>::max();
    // The first record of an answer to read() is handed over whole, also if it is larger than the answer may
    // be.
    bool ignore_size_of_first_record = false;
    // Run before read() and read_newest() are carried out; tests append records or drop history there.
    std::function<void(const read_request& request)> before_read;
    std::function<void(const std::string& after)> before_read_newest;

    std::size_t bytes_read = 0;    // keys and values in answers to read() and read_newest()
    bool handling_answer = false;  // the handler of an answer to read() or read_newest() is running

    struct partition {
        std::vector<keyed_record> records;
        std::int64_t first_offset = 0;  // oldest kept offset
        std::int64_t epoch = -1;
        std::int64_t sequence = 0;
        std::map<std::int64_t, append_result> recent;  // the last five answers of the epoch, by sequence
    };
    std::map<std::pair<std::string, int>, partition> partitions;
    std::map<int, std::string> assigned;  // member by partition
    bool assign_to_all = false;           // fault: each member is told that it holds all of `assigned`
    std::int64_t generation = 1;
    int appends = 0;

    /// Drops the history of a partition; read_newest() still returns the newest record of each key.
    void drop_history(const std::string& topic, int number)
    {
        partition& target = partitions[{topic, number}];
        target.first_offset = static_cast<std::int64_t>(target.records.size());
    }
    std::map<std::string, keyed_record> newest_records(const std::string& topic, int number)
    {
        std::map<std::string, keyed_record> newest;
        for (const keyed_record& record : partitions[{topic, number}].records) {
            if (record.value) {
                newest[record.key] = record;
            }
            else {
                newest.erase(record.key);
            }
        }
        return newest;
    }
    std::map<std::string, std::string> newest_of(const std::string& topic, int number)
    {
        std::map<std::string, std::string> newest;
        for (const auto& [key, record] : newest_records(topic, number)) {
            newest[key] = *record.value;
        }
        return newest;
    }

    void append(const append_request& request, handler<append_result> done) override
    {
        ++appends;
        if (refuse) {
            answer(std::move(done), append_result{.status = store_status::refused});
            return;
        }
        if (hang_appends > 0) {
            --hang_appends;
            return;
        }
        if (!forged_answers.empty()) {
            answer(std::move(done), forged_answers.front());
            forged_answers.pop_front();
            return;
        }
        const bool invalid =
            std::any_of(request.records.begin(), request.records.end(), [this](const keyed_record& record) {
                return size_of(record) + 1 > most_record_bytes ||
                       (!invalid_key.empty() && record.key == invalid_key);
            });
        append_result outcome = invalid ? append_result{.status = store_status::rejected} : apply(request);
        if (lose_answers > 0) {
            --lose_answers;
            outcome = {};
        }
        if (hold_append_answers) {
            held_answers_.push_back([done = std::move(done), outcome] { done(outcome); });
            return;
        }
        answer(std::move(done), outcome);
    }
    /// Delivers the answers that were kept, as to a process that was held up and reads them now.
    void release_append_answers()
    {
        hold_append_answers = false;
        for (std::function<void()>& held : std::exchange(held_answers_, {})) {
            loop_.defer(std::move(held));
        }
    }

    void read(const read_request& request, handler<read_result> handle) override
    {
        if (before_read) {
            before_read(request);
        }
        handler<read_result> done = noting(std::move(handle));
        int& refusals = refused_reads[{request.topic, request.partition}];
        if (refuse || refusals > 0) {
            refusals -= refusals > 0 ? 1 : 0;
            answer(std::move(done), read_result{.status = store_status::refused});
            return;
        }
        const partition& target = partitions[{request.topic, request.partition}];
        const auto end = static_cast<std::int64_t>(target.records.size());
        read_result outcome{.status = store_status::ok,
                            .end_offset = end,
                            .first_offset = target.first_offset,
                            .records = {}};
        if (request.from_offset < target.first_offset) {
            outcome.status = store_status::offset_expired;
        }
        else if (request.from_offset < end) {
            outcome.records.assign(target.records.begin() + request.from_offset, target.records.end());
            const std::size_t bytes = limit_size(outcome.records, request.max_kb);
            bytes_read += bytes;
            if (bytes > most_read_bytes) {
                answer(std::move(done), read_result{});
                return;
            }
        }
        // A read without records is answered after a pause instead of the requested wait, so that the loop
        // does not spin.
        answer_after(outcome.records.empty() ? 2 : 0, std::move(done), outcome);
    }

    static std::size_t size_of(const keyed_record& record)
    {
        return record.key.size() + (record.value ? record.value->size() : 0);
    }
    /// Leaves as many of the first records as an answer of @p max_kb holds. @return their size in bytes
    std::size_t limit_size(std::vector<keyed_record>& records, std::int64_t max_kb) const
    {
        constexpr std::int64_t store_limit_kb = 1'024;
        const auto limit = static_cast<std::size_t>(max_kb > 0 ? max_kb : store_limit_kb) * 1'024;
        std::size_t bytes = 0;
        std::size_t count = 0;
        for (; count < records.size(); ++count) {
            const std::size_t size = size_of(records[count]);
            const bool whole = ignore_size_of_first_record && count == 0;
            if (bytes + size > limit && !whole) {
                break;
            }
            bytes += size;
        }
        records.resize(count);
        return bytes;
    }

    void read_newest(const std::string& topic, int number, const std::string& after,
                     handler<newest_page> handle) override
    {
        handler<newest_page> done = noting(std::move(handle));
        if (before_read_newest) {
            before_read_newest(after);
        }
        if (refuse) {
            answer(std::move(done), newest_page{.status = store_status::refused});
            return;
        }
        newest_page page{.status = store_status::ok};
        if (int& left = empty_pages[{topic, number}]; left > 0) {
            --left;
            page.end_offset = 0;
            answer(std::move(done), page);
            return;
        }
        for (const auto& [key, record] : newest_records(topic, number)) {
            if (key <= after && !after.empty()) {
                continue;
            }
            if (page.records.size() == page_size) {
                page.more = true;
                break;
            }
            bytes_read += size_of(record);
            page.records.push_back(record);
        }
        page.end_offset = static_cast<std::int64_t>(partitions[{topic, number}].records.size());
        answer(std::move(done), page);
    }

    void join(const join_request& request, handler<join_result> done) override
    {
        if (refuse) {
            answer(std::move(done), join_result{.status = store_status::refused});
            return;
        }
        if (hang_joins) {
            return;
        }
        join_result outcome{.status = store_status::ok, .generation = generation, .partitions = {}};
        for (const auto& [number, member] : assigned) {
            if (assign_to_all || member == request.member) {
                outcome.partitions.push_back(number);
            }
        }
        joined.push_back(request.member);
        answer(std::move(done), outcome);
    }

    void leave(const std::string& /*group*/, const std::string& member, std::function<void()> done) override
    {
        left.push_back(member);
        loop_.defer(std::move(done));
    }

    void owners(const std::string& /*group*/, handler<owners_result> done) override
    {
        owners_result outcome{.status = refuse ? store_status::refused : store_status::ok, .rows = {}};
        for (const auto& [number, member] : assigned) {
            outcome.rows.push_back({number, member});
        }
        answer(std::move(done), outcome);
    }

    std::vector<std::string> joined;
    std::vector<std::string> left;

private:
    static constexpr std::size_t repeats_kept = 5;

    append_result apply(const append_request& request)
    {
        partition& target = partitions[{request.topic, request.partition}];
        append_result outcome{.status = store_status::ok};
        const auto end = static_cast<std::int64_t>(target.records.size());
        if (request.at_offset >= 0 && request.at_offset != end) {
            return {.status = store_status::wrong_offset, .end_offset = end};
        }
        if (!request.writer.empty()) {
            if (request.epoch < target.epoch) {
                return {.status = store_status::fenced};
            }
            if (request.epoch > target.epoch) {
                target.epoch = request.epoch;
                target.recent.clear();
            }
            else if (const auto repeat = target.recent.find(request.sequence);
                     repeat != target.recent.end()) {
                return repeat->second;
            }
            else if (request.sequence != target.sequence + 1) {
                return {.status = store_status::wrong_sequence, .expected_sequence = target.sequence + 1};
            }
            target.sequence = request.sequence;
        }
        outcome.offset = static_cast<std::int64_t>(target.records.size());
        for (keyed_record record : request.records) {
            record.offset = static_cast<std::int64_t>(target.records.size());
            target.records.push_back(std::move(record));
        }
        outcome.end_offset = static_cast<std::int64_t>(target.records.size());
        if (!request.writer.empty()) {
            target.recent[request.sequence] = outcome;
            if (target.recent.size() > repeats_kept) {
                target.recent.erase(target.recent.begin());
            }
        }
        return outcome;
    }

    /// @return a handler that notes that it is running
    template <class Result>
    handler<Result> noting(handler<Result> handle)
    {
        return [this, handle = std::move(handle)](const Result& outcome) {
            handling_answer = true;
            handle(outcome);
            handling_answer = false;
        };
    }
    template <class Result>
    void answer(handler<Result> done, Result outcome)
    {
        loop_.defer([done = std::move(done), outcome = std::move(outcome)] { done(outcome); });
    }
    template <class Result>
    void answer_after(std::int64_t delay_ms, handler<Result> done, Result outcome)
    {
        if (delay_ms == 0) {
            answer(std::move(done), std::move(outcome));
            return;
        }
        auto slot = std::make_shared<timer>();
        *slot = loop_.after(delay_ms, [slot, done = std::move(done), outcome = std::move(outcome)]() mutable {
            const std::shared_ptr<timer> kept = std::move(slot);  // outlives this handler
            done(outcome);
            kept->cancel();
        });
    }

    event_loop& loop_;
    std::vector<std::function<void()>> held_answers_;
};

}  // namespace waxwingnotch
