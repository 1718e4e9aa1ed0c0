#include "waxwingnotch/entry/dispatcher.hpp"

#include "entry/active_request.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {
constexpr std::size_t outcome_count = 6;
}  // namespace

dispatcher::dispatcher(dispatcher_parts parts, dispatcher_options options)
    : parts_(std::move(parts)), options_(std::move(options)), random_(options_.seed),
      received_(parts_.counters.make_counter("waxwingnotch_requests_total", "Requests received.")),
      sent_(parts_.counters.make_counter("waxwingnotch_sends_total", "Requests sent to upstreams.")),
      retried_(parts_.counters.make_counter("waxwingnotch_retries_total", "Repeated sends.")),
      full_(parts_.counters.make_counter("waxwingnotch_full_refusals_total",
                                         "Refusals by workers whose slots were taken.")),
      waiting_(parts_.counters.make_histogram("waxwingnotch_wait_ms", "Time from arrival to send, in ms.")),
      waiting_short_(parts_.counters.make_histogram("waxwingnotch_wait_short_ms",
                                                    "Same, of work that is not expected to be long, in ms.")),
      total_(parts_.counters.make_histogram("waxwingnotch_answer_ms", "Time from arrival to answer, in ms."))
{
    for (std::size_t index = 0; index < outcome_count; ++index) {
        std::string name = std::string("waxwingnotch_outcome_") + to_string(static_cast<outcome>(index));
        std::replace(name.begin(), name.end(), '-', '_');
        ended_.push_back(&parts_.counters.make_counter(name + "_total", "Requests that ended so."));
    }
    parts_.view.on_verdict([this](const verdict& one) {
        const bool of_claims = one.what == "claim" || one.what == "claim-end";
        if (one.accepted && !of_claims) {
            parts_.upstreams.hosts_changed();
        }
    });
    if (parts_.member_ids) {
        parts_.upstreams.use_members(options_.node_id, parts_.member_ids);
    }
}

std::string dispatcher::admission_problem(const active_request& item, outcome& result) const
{
    const fleet_state& state = parts_.view.state();
    const service_rule* service = find_service(state, item.request.service);
    result = outcome::never;
    if (service == nullptr) {
        return "unknown service '" + item.request.service + "'";
    }
    if (item.request.size_mb > service->max_size_mb) {
        return "declared size " + std::to_string(item.request.size_mb) + " MB exceeds max_size_mb " +
               std::to_string(service->max_size_mb);
    }
    if (item.request.run_time_ms > service->max_run_time_ms) {
        return "declared run time " + std::to_string(item.request.run_time_ms) +
               " ms exceeds max_run_time_ms " + std::to_string(service->max_run_time_ms);
    }
    result = outcome::not_run;
    if (requests_.size() > options_.max_in_flight) {
        return "this entry node holds " + std::to_string(options_.max_in_flight) + " requests";
    }
    const auto queue = queues_.find(item.request.service);
    if (queue != queues_.end() && queue->second.order.size() >= service->queue_limit) {
        return "queue of service '" + service->name + "' is full with " +
               std::to_string(service->queue_limit) + " requests";
    }
    return {};
}

void dispatcher::submit(const http_exchange_ptr& exchange, caller_request request)
{
    auto item = std::make_shared<active_request>();
    item->number = next_request_++;
    item->id = options_.request_prefix + "-" + std::to_string(item->number);
    item->request = std::move(request);
    item->exchange = exchange;
    item->arrived_at = monotonic_ms();
    if (item->request.deadline_ms > 0) {
        item->deadline_at = item->arrived_at + item->request.deadline_ms;
    }
    received_.add();
    requests_[item->id] = item;
    outcome result = outcome::never;
    if (std::string problem = admission_problem(*item, result); !problem.empty()) {
        finish(item, make_refusal(result, std::move(problem), retry_after_ms));
        return;
    }
    exchange->on_closed([this, id = item->id] { cancel(id, "the caller closed the connection"); });
    const std::int64_t limit = item->request.deadline_ms > 0
                                   ? std::min(item->request.deadline_ms, options_.request_timeout_ms)
                                   : options_.request_timeout_ms;
    item->limit = parts_.loop.after(limit, [this, id = item->id] { cancel(id, "its time is over"); });

    const bool keyed = !item->request.idempotency_key.empty();
    if (!keyed || !item->request.non_idempotent) {
        enqueue(item);
        return;
    }
    const std::string key = claim_key(item->request.service, item->request.idempotency_key);
    parts_.claims.claim(key, item->id, [this, item, key](const claim_result& claimed) {
        if (!claimed.granted) {
            finish(item, claimed.refusal);
            return;
        }
        item->claim = key;
        item->claimed_at = monotonic_ms();
        if (item->finished) {
            // Cancelled while the claim was under way; nothing was sent.
            parts_.claims.end(key, item->id, make_refusal(outcome::not_run, "cancelled"));
            return;
        }
        trace(*item, "claimed its key");
        enqueue(item);
    });
}

void dispatcher::send(const active_ptr& item, const std::string& host, const host_state& machine)
{
    const service_rule* service = find_service(parts_.view.state(), item->request.service);
    http_call call;
    call.method = "POST";
    call.address = machine.spec.address;
    call.path = "/tasks";
    call.body = item->request.body;
    call.headers = {{"X-Task-Id", item->id},
                    {"X-Service", item->request.service},
                    {"X-Task-Expires-Ms", std::to_string(wall_ms() + start_within_ms)},
                    {"X-Lease-Ms", std::to_string(service->max_run_time_ms)}};
    if (!item->request.content_type.empty()) {
        call.headers.emplace_back("Content-Type", item->request.content_type);
    }
    call.timeout_ms = std::min(options_.request_timeout_ms, service->max_run_time_ms + start_within_ms);
    // A kept connection that the worker has closed could not tell whether it read the request.
    call.reuse = !item->request.non_idempotent;
    ++item->attempts;
    ++parts_.upstreams.at(host).in_flight;
    sent_.add();
    note_start(*item, service->pool);
    item->call = parts_.client.send(
        call, [this, item, host](const http_answer& answer) { take_answer(item, host, answer); });
}

void dispatcher::note_contact(const std::string& host, const http_answer& answer)
{
    upstream& known = parts_.upstreams.at(host);
    --known.in_flight;
    if (answer.outcome == call_outcome::answered) {
        const auto machine = parts_.view.state().hosts.find(host);
        const std::uint32_t slots =
            machine == parts_.view.state().hosts.end() ? 0 : machine->second.spec.slots;
        parts_.upstreams.take_answer(host, slots, answer, monotonic_ms());
        known.failures = 0;
        return;
    }
    const bool refused_connection = answer.outcome == call_outcome::failed && !answer.bytes_sent;
    if (refused_connection) {
        const std::int64_t pause = eject_ms << std::min(known.failures, 4U);
        ++known.failures;
        known.ejected_until = monotonic_ms() + std::min(pause, longest_eject_ms);
        log_event(log_level::warning, "eject",
                  {{"host", host}, {"reason", "connection refused"}, {"for_ms", pause}});
    }
}

void dispatcher::take_answer(const active_ptr& item, const std::string& host, const http_answer& answer)
{
    note_contact(host, answer);
    note_end(*item, answer);
    item->call = 0;
    const bool answered = answer.outcome == call_outcome::answered;
    const bool not_started =
        answered ? answer.header("X-Not-Started").value_or("") == "1" : !answer.bytes_sent;
    item->sent = item->sent || !not_started;
    item->attempts -= not_started ? 1 : 0;
    if (item->finished) {
        pump();
        return;
    }
    constexpr int too_many = 429;
    if (not_started && answered && answer.status == too_many) {
        // The table takes the worker for full for a while, so the request only goes back to its place.
        ++item->full;
        full_.add();
        trace(*item, host + " refused it, because its slots are taken");
        enqueue(item);
    }
    else if (not_started) {
        ++item->unstarted;
        item->tried.push_back(host);
        try_again(item, answered ? "refused: " + answer.body : "no connection", false);
    }
    else if (!answered) {
        item->tried.push_back(host);
        try_again(item, "the connection failed after the request was sent", true);
    }
    else if (answer.header("X-Task-Id").value_or("") != item->id) {
        log_event(log_level::error, "foreign-answer", {{"request", item->id}, {"host", host}});
        try_again(item, "the answer belongs to another request", true);
    }
    else if (answer.status >= 500 || answer.status == 410) {
        item->tried.push_back(host);
        if (item->request.non_idempotent) {
            finish(item, make_refusal(outcome::failed, answer.body));
        }
        else {
            try_again(item, "failed: " + answer.body, true);
        }
    }
    else {
        caller_answer whole;
        whole.status = answer.status;
        whole.content_type = answer.header("Content-Type").value_or("application/octet-stream");
        whole.body = answer.body;
        finish(item, whole);
    }
    pump();
}

void dispatcher::try_again(const active_ptr& item, const std::string& why, bool started)
{
    const retry_rule& rule = parts_.view.state().promises.retry;
    trace(*item, why);
    if (started && item->request.non_idempotent) {
        finish(item, make_refusal(outcome::unknown, why));
        return;
    }
    constexpr std::uint32_t max_refusals = 20;
    const std::uint32_t tries = started ? item->attempts : item->unstarted;
    const std::uint32_t most = started ? rule.max_attempts : max_refusals;
    if (tries >= most) {
        const outcome result = item->sent ? outcome::failed : outcome::not_run;
        finish(item, make_refusal(result, why, retry_after_ms));
        return;
    }
    retried_.add();
    const std::int64_t base = rule.backoff_ms << std::min(tries, 6U);
    const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(base + 1));
    item->backoff = parts_.loop.after(started ? base / 2 + jitter / 2 : jitter / 4, [this, item] {
        if (!item->finished) {
            enqueue(item);
        }
    });
}

bool dispatcher::cancel(const std::string& request_id, const std::string& why)
{
    const auto found = requests_.find(request_id);
    if (found == requests_.end()) {
        return false;
    }
    const active_ptr item = found->second;
    const bool may_have_run = item->sent || item->call != 0;
    const call_id call = item->call;
    finish(item, make_refusal(may_have_run ? outcome::unknown : outcome::not_run, why, retry_after_ms));
    parts_.client.cancel(call);
    return true;
}

void dispatcher::finish(const active_ptr& item, const caller_answer& answer)
{
    if (item->finished) {
        return;
    }
    item->finished = true;
    item->limit.cancel();
    item->backoff.cancel();
    leave_queue(*item);
    requests_.erase(item->id);
    const std::int64_t took = monotonic_ms() - item->arrived_at;
    ended_[static_cast<std::size_t>(answer.result)]->add();
    total_.record(took);
    log_event(log_level::info, "answer",
              {{"request", item->id},
               {"service", item->request.service},
               {"outcome", to_string(answer.result)},
               {"status", answer.status},
               {"reason", answer.reason},
               {"attempts", item->attempts},
               {"took_ms", took}});
    trace(*item, std::string("answered ") + to_string(answer.result) +
                     (answer.reason.empty() ? std::string() : ": " + answer.reason));
    if (!item->claim.empty()) {
        parts_.claims.end(item->claim, item->id, answer);
    }
    send_answer(*item->exchange, item->id, answer);
    item->exchange.reset();
}

void dispatcher::trace(const active_request& item, std::string text)
{
    traces_.add(item.id, item.request.service, {wall_ms(), std::move(text)});
}

std::vector<std::string> dispatcher::open_requests() const
{
    std::vector<std::string> ids;
    for (const auto& [id, item] : requests_) {
        ids.push_back(id);
    }
    return ids;
}

}  // namespace waxwingnotch
