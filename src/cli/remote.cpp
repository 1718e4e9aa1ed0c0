#include "cli/remote.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/platform/log_follower.hpp"
#include "waxwingnotch/platform/segment_reader.hpp"
#include "waxwingnotch/platform/snapshot_loader.hpp"

#include <unistd.h>

namespace waxwingnotch {

namespace {

constexpr std::int64_t read_timeout_ms = 10'000;
constexpr int max_append_attempts = 5;

/// Reads the next entries, up to 1000 from the state's next offset on, and folds them.
/// @return true at the end of the log; `gone` if the log no longer has that offset
result<bool> fold_next_entries(const std::string& address, log_fold& folded, std::vector<verdict>& verdicts)
{
    http_call call;
    call.address = address;
    call.path = "/log/records?from=" + std::to_string(folded.state.next_offset) + "&max=1000";
    call.timeout_ms = read_timeout_ms;
    const http_answer answer = fetch(call);
    if (answer.outcome != call_outcome::answered || (answer.status != 200 && answer.status != 410)) {
        return fail(error_code::unavailable, "the platform's log at " + address + " does not answer");
    }
    if (answer.status == 410) {
        return fail(error_code::gone,
                    "the log no longer has offset " + std::to_string(folded.state.next_offset));
    }
    const auto entries = decode_entries(answer.body);
    if (!entries) {
        return entries.error();
    }
    for (const log_entry& entry : entries.value()) {
        std::vector<verdict> new_verdicts = apply(folded.state, entry);
        std::move(new_verdicts.begin(), new_verdicts.end(), std::back_inserter(verdicts));
    }
    return entries.value().empty();
}

/// Sends log lines to standard error, so that they don't mix with the command's output.
void log_to_standard_error()
{
    static const bool done = [] {
        init_log({log_level::warning, "", ""});
        return true;
    }();
    static_cast<void>(done);
}

result<fleet_state> load_snapshot(const std::string& address)
{
    log_to_standard_error();
    event_loop loop;
    http_client client(loop, http_client::long_answer_bytes);
    snapshot_loader loader(client, address);
    result<fleet_state> outcome = fleet_state{};
    loader.load([&](result<fleet_state> state) {
        outcome = std::move(state);
        loop.stop();
    });
    loop.run();
    return outcome;
}

/// Folds the log up to its end. Starts again from a snapshot if the log no longer has the next offset.
result<void> fold_to_end(const std::string& address, log_fold& folded, std::vector<verdict>& verdicts)
{
    while (true) {
        const auto at_end = fold_next_entries(address, folded, verdicts);
        if (!at_end && at_end.error().code == error_code::gone) {
            auto snapshot = load_snapshot(address);
            if (!snapshot || snapshot.value().next_offset <= folded.state.next_offset) {
                return snapshot ? at_end.error() : snapshot.error();
            }
            folded.state = std::move(snapshot.value());
            continue;
        }
        if (!at_end) {
            return at_end.error();
        }
        if (at_end.value()) {
            return boost::outcome_v2::success();
        }
    }
}

}  // namespace

http_answer fetch(const http_call& call)
{
    event_loop loop;
    http_client client(loop, http_client::long_answer_bytes);
    http_answer result;
    client.send(call, [&](const http_answer& answer) {
        result = answer;
        loop.stop();
    });
    loop.run();
    return result;
}

result<log_fold> fold_log(const std::string& address)
{
    log_fold folded;
    std::vector<verdict> ignored;
    const auto read = fold_to_end(address, folded, ignored);
    if (!read) {
        return read.error();
    }
    return folded;
}

audit_report read_audit(const std::string& address, const fleet_state& state)
{
    event_loop loop;
    http_client client(loop, http_client::long_answer_bytes);
    std::vector<result<audit_segment>> copies;
    while (copies.size() < state.segments.size()) {
        read_segment(client, address, state, copies.size(), [&](const result<audit_segment>& copy) {
            copies.push_back(copy);
            loop.stop();
        });
        loop.run();
    }
    return verify_audit(state, copies);
}

append_result append_and_wait(const std::string& address, const std::string& author, record item,
                              log_fold& folded)
{
    batch new_batch;
    // Each command is a writer of its own, also if the same operator runs several.
    new_batch.writer =
        "operator:" + author + ":" + std::to_string(wall_ms()) + ":" + std::to_string(getpid());
    new_batch.incarnation = wall_ms();
    new_batch.seq = 1;
    new_batch.seen_offset = folded.state.next_offset;
    new_batch.records.push_back(std::move(item));
    http_call call;
    call.method = "POST";
    call.address = address;
    call.path = "/log/records";
    call.body = encode(new_batch);
    bool may_be_appended = false;
    for (int attempt = 0; attempt < max_append_attempts; ++attempt) {
        const http_answer answer = fetch(call);
        may_be_appended = may_be_appended || answer.bytes_sent;
        std::vector<verdict> verdicts;
        const auto read = fold_to_end(address, folded, verdicts);
        for (const verdict& outcome : verdicts) {
            if (outcome.writer == new_batch.writer) {
                return {outcome.accepted ? exit_ok : exit_conflict, outcome.reason};
            }
        }
    }
    return {may_be_appended ? exit_unknown : exit_unavailable,
            "the platform's log at " + address + " does not answer"};
}

}  // namespace waxwingnotch
