#include "waxwingnotch/entry/dispatcher.hpp"

#include "entry/active_request.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {
constexpr std::size_t outcome_count = 6;
}  // namespace

dispatcher::dispatcher(dispatcher_dependencies dependencies, dispatcher_options options)
    : deps_(std::move(dependencies)), options_(std::move(options)), random_(options_.seed),
      quotas_(options_.node_id),
      received_(deps_.counters.make_counter("waxwingnotch_requests_total", "Requests received.")),
      sent_(deps_.counters.make_counter("waxwingnotch_sends_total", "Requests sent to upstreams.")),
      retried_(deps_.counters.make_counter("waxwingnotch_retries_total", "Repeated sends.")),
      full_refusals_(deps_.counters.make_counter("waxwingnotch_full_refusals_total",
                                                 "Refusals by workers whose slots were taken.")),
      wait_time_(deps_.counters.make_histogram("waxwingnotch_wait_ms", "Time from arrival to send, in ms.")),
      short_wait_time_(deps_.counters.make_histogram(
          "waxwingnotch_wait_short_ms", "Same, of work that is not expected to be long, in ms.")),
      answer_time_(
          deps_.counters.make_histogram("waxwingnotch_answer_ms", "Time from arrival to answer, in ms."))
{
    for (std::size_t index = 0; index < outcome_count; ++index) {
        std::string name = std::string("waxwingnotch_outcome_") + to_string(static_cast<outcome>(index));
        std::replace(name.begin(), name.end(), '-', '_');
        outcomes_.push_back(&deps_.counters.make_counter(name + "_total", "Requests that ended so."));
    }
    deps_.view.on_verdict([this](const verdict& item) {
        const bool concerns_claim = item.kind == "claim" || item.kind == "claim-end";
        if (item.accepted && !concerns_claim) {
            deps_.upstreams.invalidate_index();
        }
    });
    if (deps_.member_ids) {
        deps_.upstreams.use_members(options_.node_id, deps_.member_ids);
    }
}

std::string dispatcher::admission_problem(const active_request& item, outcome& result)
{
    const fleet_state& state = deps_.view.state();
    const runnable_result never =
        never_runnable_.check(state, {item.request.service, item.request.size_mb, item.request.run_time_ms});
    result = outcome::never;
    if (never.limit != exceeded_limit::none) {
        log_event(log_level::info, "never",
                  {{"request", item.id}, {"limit", to_string(never.limit)}, {"reason", never.text()}});
        return never.text();
    }
    result = outcome::not_run;
    const service_rule* service = find_service(state, item.request.service);
    if (service == nullptr) {
        return "no rules are published yet";
    }
    if (requests_.size() > options_.max_in_flight) {
        return "this entry node holds " + std::to_string(options_.max_in_flight) + " requests";
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
    if (!item->request.caller_request_id.empty()) {
        caller_ids_[item->request.caller_request_id] = item->id;
    }
    outcome result = outcome::never;
    if (std::string problem = admission_problem(*item, result); !problem.empty()) {
        finish(item, make_refusal(result, std::move(problem), retry_after_ms));
        return;
    }
    // A repeat goes through its claim first: refusing it as "not run" would be wrong if its key has run.
    if (!key_is_claimed(*item)) {
        if (const auto refusal = refuse_admission(*item)) {
            finish(item, *refusal);
            return;
        }
    }
    exchange->on_closed([this, id = item->id] { handle_caller_disconnect(id); });
    const std::int64_t limit = item->request.deadline_ms > 0
                                   ? std::min(item->request.deadline_ms, options_.request_timeout_ms)
                                   : options_.request_timeout_ms;
    item->time_limit = deps_.loop.after(limit, [this, id = item->id] { cancel(id, "its time is over"); });

    const bool keyed = !item->request.idempotency_key.empty();
    if (!keyed || !item->request.non_idempotent) {
        enqueue(item);
        return;
    }
    const std::string key = claim_key(item->request.service, item->request.idempotency_key);
    item->requested_claim = key;
    deps_.claims.claim(key, item->id, [this, item, key](const claim_result& claimed) {
        item->requested_claim.clear();
        if (!claimed.granted) {
            finish(item, claimed.refusal);
            return;
        }
        item->claim = key;
        item->claimed_at = monotonic_ms();
        if (item->finished) {
            // Cancelled while the claim was pending; nothing was sent.
            deps_.claims.end(key, item->id, make_refusal(outcome::not_run, "cancelled"));
            return;
        }
        trace(*item, "claimed its key");
        if (const auto refusal = refuse_admission(*item)) {
            finish(item, *refusal);
            return;
        }
        enqueue(item);
    });
}

void dispatcher::send(const active_ptr& item, const std::string& host, const host_state& machine)
{
    const service_rule* service = find_service(deps_.view.state(), item->request.service);
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
    // If the worker closes a reused connection, it is unknown whether it has read the request.
    call.reuse_connection = !item->request.non_idempotent;
    ++item->attempts;
    item->host = host;
    ++deps_.upstreams.at(host).in_flight;
    sent_.add();
    record_start(*item, service->pool);
    item->call = deps_.client.send(
        call, [this, item, host](const http_answer& answer) { handle_answer(item, host, answer); });
}

void dispatcher::update_upstream(const std::string& host, const http_answer& answer)
{
    upstream& known = deps_.upstreams.at(host);
    --known.in_flight;
    if (answer.outcome == call_outcome::answered) {
        const auto machine = deps_.view.state().hosts.find(host);
        const std::uint32_t slots =
            machine == deps_.view.state().hosts.end() ? 0 : machine->second.spec.slots;
        deps_.upstreams.apply_answer(host, slots, answer, monotonic_ms());
        known.failures = 0;
        known.last_answer_ms = monotonic_ms();
        return;
    }
    const bool refused_connection = answer.outcome == call_outcome::failed && !answer.bytes_sent;
    if (refused_connection) {
        const std::int64_t pause = first_eject_ms << std::min(known.failures, 4U);
        ++known.failures;
        known.ejected_until = monotonic_ms() + std::min(pause, max_eject_ms);
        log_event(
            log_level::warning, "eject",
            {{"host", host}, {"reason", "connection refused"}, {"for_ms", std::min(pause, max_eject_ms)}});
    }
}

void dispatcher::handle_answer(const active_ptr& item, const std::string& host, const http_answer& answer)
{
    update_upstream(host, answer);
    update_worker_health(item, host, answer);
    if (item->attempts + item->not_started_sends + item->full_refusals == 1) {
        retries_.note_first_attempt(item->request.service, item->request.team,
                                    deps_.view.state().rules_in_force.retry.budget_ratio);
    }
    record_end(*item, answer);
    item->call = 0;
    const bool answered = answer.outcome == call_outcome::answered;
    const bool not_started =
        answered ? answer.header("X-Not-Started").value_or("") == "1" : !answer.bytes_sent;
    item->may_have_started = item->may_have_started || !not_started;
    item->attempts -= not_started ? 1 : 0;
    if (item->finished) {
        pump();
        return;
    }
    constexpr int too_many_requests = 429;
    if (not_started && answered && answer.status == too_many_requests) {
        // The upstream table counts the worker as full until its report expires, so the request just returns
        // to its position in the queue.
        ++item->full_refusals;
        full_refusals_.add();
        trace(*item, host + " refused it, because its slots are taken");
        enqueue(item);
    }
    else if (not_started) {
        ++item->not_started_sends;
        item->tried.push_back(host);
        retry_or_finish(item, answered ? "refused: " + answer.body : "no connection", false);
    }
    else if (!answered) {
        item->tried.push_back(host);
        retry_or_finish(item, "the connection failed after the request was sent", true);
    }
    else if (answer.header("X-Task-Id").value_or("") != item->id) {
        log_event(log_level::error, "foreign-answer", {{"request", item->id}, {"host", host}});
        retry_or_finish(item, "the answer belongs to another request", true);
    }
    else if (answer.status >= 500 || answer.status == 410) {
        item->tried.push_back(host);
        if (item->request.non_idempotent) {
            finish(item, make_refusal(outcome::failed, answer.body));
        }
        else {
            retry_or_finish(item, "failed: " + answer.body, true);
        }
    }
    else {
        caller_answer reply;
        reply.status = answer.status;
        reply.content_type = answer.header("Content-Type").value_or("application/octet-stream");
        reply.body = answer.body;
        finish(item, reply);
    }
    pump();
}

std::optional<work_result> dispatcher::work_result_of(const active_request& item, const std::string& host,
                                                      const http_answer& answer)
{
    constexpr std::int64_t timer_slack_ms = 20;  // timers start from the loop's cached time
    const std::int64_t now = monotonic_ms() + timer_slack_ms;
    if (answer.outcome == call_outcome::answered) {
        // 410: the task was stopped from outside, which is no evidence about the worker.
        if (answer.header("X-Not-Started").value_or("") == "1" || answer.status == 410) {
            return std::nullopt;
        }
        const bool foreign = answer.header("X-Task-Id").value_or("") != item.id;
        return foreign || answer.status >= 500 ? work_result::failed : work_result::succeeded;
    }
    if (answer.outcome == call_outcome::cancelled) {
        // Cancelled by the caller, unless the time limit of the request has passed.
        const bool time_over = now >= item.arrived_at + options_.request_timeout_ms ||
                               (item.deadline_at > 0 && now >= item.deadline_at);
        if (!time_over) {
            return std::nullopt;
        }
        return deps_.upstreams.at(host).last_answer_ms >= item.arrived_at ? work_result::late
                                                                          : work_result::silent;
    }
    const bool refused_connection = answer.outcome == call_outcome::failed && !answer.bytes_sent;
    return refused_connection ? std::nullopt : std::optional(work_result::silent);
}

void dispatcher::update_worker_health(const active_ptr& item, const std::string& host,
                                      const http_answer& answer)
{
    const fleet_state& state = deps_.view.state();
    const auto machine = state.hosts.find(host);
    const std::optional<work_result> result = work_result_of(*item, host, answer);
    if (!result || machine == state.hosts.end()) {
        return;
    }
    health_event event;
    event.host = host;
    event.pool = machine->second.pool;
    event.service = item->request.service;
    event.result = *result;
    event.now_ms = monotonic_ms();
    event.sent_at_ms = item->arrived_at;  // lower bound
    event.previous_host = item->failed_host;
    if (event.result != work_result::succeeded) {
        event.max_out = deps_.upstreams.hosts_over_budget(state, event.pool, event.now_ms);
    }
    const health_verdict verdict = deps_.upstreams.health().observe(event);
    item->failed_host = event.result == work_result::failed ? host : std::string();
    if (verdict.action == health_action::none) {
        return;
    }
    if (verdict.action == health_action::reconnect) {
        deps_.client.close_idle_connections(machine->second.spec.address);
    }
    log_event(log_level::warning, "worker-health",
              {{"host", host},
               {"pool", event.pool},
               {"action", to_string(verdict.action)},
               {"for_ms", verdict.pause_ms},
               {"reason", verdict.reason},
               {"request", item->id}});
}

void dispatcher::retry_or_finish(const active_ptr& item, const std::string& why, bool started)
{
    const retry_rule& rule = deps_.view.state().rules_in_force.retry;
    trace(*item, why);
    failed_send failure;
    failure.service = item->request.service;
    failure.team = item->request.team;
    failure.safety = !started                       ? retry_safety::not_started
                     : item->request.non_idempotent ? retry_safety::unsafe
                                                    : retry_safety::idempotent;
    failure.attempts = item->attempts;
    failure.refusals = item->not_started_sends;
    if (item->deadline_at > 0) {
        failure.deadline_left_ms = std::max<std::int64_t>(1, item->deadline_at - monotonic_ms());
    }
    const retry_verdict verdict = retries_.decide(failure, rule, random_());
    log_event(log_level::info, "retry",
              {{"request", item->id}, {"cause", why}, {"repeat", verdict.retry}, {"reason", verdict.text()}});
    if (!verdict.retry) {
        // If a send may have run and returned no result, the outcome is unknown.
        const outcome result = !item->may_have_started     ? outcome::not_run
                               : item->failed_host.empty() ? outcome::unknown
                                                           : outcome::failed;
        finish(item, make_refusal(result, why + "; " + to_string(verdict.refusal), retry_after_ms));
        return;
    }
    retried_.add();
    item->backoff = deps_.loop.after(verdict.backoff_ms, [this, item] {
        if (!item->finished) {
            enqueue(item);
        }
    });
}

bool dispatcher::cancel(const std::string& request_id, const std::string& why)
{
    const auto by_caller_id = caller_ids_.find(request_id);
    const auto found = requests_.find(by_caller_id == caller_ids_.end() ? request_id : by_caller_id->second);
    if (found == requests_.end()) {
        return false;
    }
    const active_ptr item = found->second;
    // Until its claim is settled, it is unknown whether an earlier request with this key has run.
    const bool claim_pending = !item->requested_claim.empty();
    const bool may_have_run = item->may_have_started || item->call != 0 || claim_pending;
    const call_id call = item->call;
    finish(item, make_refusal(may_have_run ? outcome::unknown : outcome::not_run, why, retry_after_ms));
    deps_.client.cancel(call);
    if (call != 0) {
        stop_task(*item);
    }
    return true;
}

void dispatcher::stop_task(const active_request& item)
{
    const auto machine = deps_.view.state().hosts.find(item.host);
    if (machine == deps_.view.state().hosts.end()) {
        return;
    }
    http_call call;
    call.method = "DELETE";
    call.address = machine->second.spec.address;
    call.path = "/tasks/" + item.id;
    // Best effort: if the call fails, the lease ends the task.
    deps_.client.send(call, [](const http_answer&) {});
}

void dispatcher::handle_caller_disconnect(const std::string& request_id)
{
    const auto found = requests_.find(request_id);
    if (found == requests_.end()) {
        return;
    }
    trace(*found->second, "the caller closed the connection");
    // A request that was sent keeps running, so that a repeat of its key gets the answer.
    if (!found->second->may_have_started && found->second->call == 0) {
        cancel(request_id, "the caller closed the connection");
    }
}

void dispatcher::finish(const active_ptr& item, const caller_answer& answer)
{
    if (item->finished) {
        return;
    }
    item->finished = true;
    item->time_limit.cancel();
    item->backoff.cancel();
    leave_queue(*item);
    count_finished(*item);
    requests_.erase(item->id);
    const auto by_caller_id = caller_ids_.find(item->request.caller_request_id);
    if (by_caller_id != caller_ids_.end() && by_caller_id->second == item->id) {
        caller_ids_.erase(by_caller_id);
    }
    const std::int64_t took = monotonic_ms() - item->arrived_at;
    outcomes_[static_cast<std::size_t>(answer.result)]->add();
    answer_time_.record(took);
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
        deps_.claims.end(item->claim, item->id, answer);
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
