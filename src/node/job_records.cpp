/// Storing the records of accepted jobs and of cancels.
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <utility>

namespace waxwingnotch {

namespace {

constexpr int status_unknown = 502;

/// Answers of an owner to a submitted record.
constexpr std::pair<int, store_status> answer_statuses[] = {
    {200, store_status::ok},
    {400, store_status::rejected},
    {status_unknown, store_status::unknown},
    {503, store_status::refused},
};

store_status outcome_of(int status)
{
    for (const auto& [known, meaning] : answer_statuses) {
        if (known == status) {
            return meaning;
        }
    }
    return store_status::unknown;
}

}  // namespace

int status_of_stored_record(store_status outcome)
{
    for (const auto& [status, meaning] : answer_statuses) {
        if (meaning == outcome) {
            return status;
        }
    }
    return status_unknown;
}

void node_state::store_job_record(int shard, keyed_record record, std::function<void(store_status)> done)
{
    const std::int64_t now = monotonic_ms();
    const std::string owner = group && !shards.contains(shard) ? group->owner_of(shard) : std::string();
    submission_route& route = submission_routes[shard];
    if (owner.empty() || owner == settings.internal_address || !route.use_owner(now)) {
        job_appender(shard).append(std::move(record), std::move(done));
        return;
    }
    const http_call call{.method = "POST",
                         .address = owner,
                         .path = submit_path + ("?shard=" + std::to_string(shard)) + "&key=" + record.key,
                         .headers = {},
                         .body = record.value.value_or(""),
                         .timeout_ms = route.timeout_ms(),
                         .reuse_connection = true,
                         .traffic = traffic_class::peers};
    call_owner(
        *this, call,
        [this, shard, now, record = std::move(record), done = std::move(done)](const http_answer& answer) {
            submission_route& used = submission_routes[shard];
            const bool answered = answer.outcome == call_outcome::answered;
            if (answered && answer.status != status_not_owner) {
                used.on_answer(monotonic_ms() - now);
                if (answer.body == append_elsewhere_word) {
                    used.on_full_link(monotonic_ms());
                }
                done(outcome_of(answer.status));
                return;
            }
            if (!answered) {
                used.on_timeout(monotonic_ms());
                log_event(log_level::info, "submit_direct",
                          {{"key", record.key}, {"shard", shard}, {"reason", "the owner has not answered"}});
            }
            // The owner may have stored the record. A second record with the same key has no further effect,
            // but if this append is refused, the outcome is still unknown.
            const bool may_be_stored = !answered && answer.bytes_sent;
            job_appender(shard).append(record, [done, may_be_stored](store_status outcome) {
                done(may_be_stored && outcome == store_status::refused ? store_status::unknown : outcome);
            });
        });
}

}  // namespace waxwingnotch
