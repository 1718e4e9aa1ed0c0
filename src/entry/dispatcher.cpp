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
      quotas_(options_.node_id),
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
        const bool of_claims = one.kind == "claim" || one.kind == "claim-end";
        if (one.accepted && !of_claims) {
            parts_.upstreams.hosts_changed();
        }
    });
    if (parts_.member_ids) {
        parts_.upstreams.use_members(options_.node_id, parts_.member_ids);
    }
}

std::string dispatcher::admission_problem(const active_request& item, outcome& result)
{
    const fleet_state& state = parts_.view.state();
    const runnable_result never =
        never_.check(state, {item.request.service, item.request.size_mb, item.request.run_time_ms});
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
    if (!item->request.own_id.empty()) {
        own_ids_[item->request.own_id] = item->id;
    }
    outcome result = outcome::never;
    if (std::string problem = admission_problem(*item, result); !problem.empty()) {
        finish(item, make_refusal(result, std::move(problem), retry_after_ms));
        return;
    }
    // "Not run" would be false for a key that ran, so a repeat asks for its claim first.
    if (!repeats_key(*item)) {
        if (const auto refusal = refuse_admission(*item)) {
            finish(item, *refusal);
            return;
        }
    }
    exchange->on_closed([this, id = item->id] { abandon(id); });
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
    item->wanted_claim = key;
    parts_.claims.claim(key, item->id, [this, item, key](const claim_result& claimed) {
        item->wanted_claim.clear();
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
        if (const auto refusal = refuse_admission(*item)) {
            finish(item, *refusal);
            return;
        }
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
    call.reuse_connection = !item->request.non_idempotent;
    ++item->attempts;
    item->host = host;
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
        known.answered_at = monotonic_ms();
        return;
    }
    const bool refused_connection = answer.outcome == call_outcome::failed && !answer.bytes_sent;
    if (refused_connection) {
        const std::int64_t pause = eject_ms << std::min(known.failures, 4U);
        ++known.failures;
        known.ejected_until = monotonic_ms() + std::min(pause, longest_eject_ms);
        log_event(log_level::warning, "eject",
                  {{"host", host},
                   {"reason", "connection refused"},
                   {"for_ms", std::min(pause, longest_eject_ms)}});
    }
}

void dispatcher::take_answer(const active_ptr& item, const std::string& host, const http_answer& answer)
{
    note_contact(host, answer);
    judge_worker(item, host, answer);
    if (item->attempts + item->unstarted + item->full == 1) {
        retries_.note_first_attempt(item->request.service, item->request.team,
                                    parts_.view.state().rules_in_force.retry.budget_ratio);
    }
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

std::optional<work_result> dispatcher::result_of(const active_request& item, const std::string& host,
                                                 const http_answer& answer)
{
    constexpr std::int64_t timer_slack_ms = 20;  // a timer counts from the loop's cached time
    const std::int64_t now = monotonic_ms() + timer_slack_ms;
    if (answer.outcome == call_outcome::answered) {
        // 410: somebody stopped the task, which says nothing of the worker.
        if (answer.header("X-Not-Started").value_or("") == "1" || answer.status == 410) {
            return std::nullopt;
        }
        const bool foreign = answer.header("X-Task-Id").value_or("") != item.id;
        return foreign || answer.status >= 500 ? work_result::failed : work_result::succeeded;
    }
    if (answer.outcome == call_outcome::cancelled) {
        // Its caller left or cancelled it, unless its own time is over.
        const bool time_over = now >= item.arrived_at + options_.request_timeout_ms ||
                               (item.deadline_at > 0 && now >= item.deadline_at);
        if (!time_over) {
            return std::nullopt;
        }
        return parts_.upstreams.at(host).answered_at >= item.arrived_at ? work_result::late
                                                                        : work_result::silent;
    }
    const bool refused_connection = answer.outcome == call_outcome::failed && !answer.bytes_sent;
    return refused_connection ? std::nullopt : std::optional(work_result::silent);
}

void dispatcher::judge_worker(const active_ptr& item, const std::string& host, const http_answer& answer)
{
    const fleet_state& state = parts_.view.state();
    const auto machine = state.hosts.find(host);
    const std::optional<work_result> result = result_of(*item, host, answer);
    if (!result || machine == state.hosts.end()) {
        return;
    }
    health_event event;
    event.host = host;
    event.pool = machine->second.pool;
    event.service = item->request.service;
    event.result = *result;
    event.now_ms = monotonic_ms();
    event.sent_at_ms = item->arrived_at;  // at the earliest
    event.previous_host = item->failed_at;
    if (event.result != work_result::succeeded) {
        event.max_out = parts_.upstreams.may_be_out(state, event.pool, event.now_ms);
    }
    const health_verdict verdict = parts_.upstreams.health().observe(event);
    item->failed_at = event.result == work_result::failed ? host : std::string();
    if (verdict.action == health_action::none) {
        return;
    }
    if (verdict.action == health_action::reconnect) {
        parts_.client.close_idle_connections(machine->second.spec.address);
    }
    log_event(log_level::warning, "worker-health",
              {{"host", host},
               {"pool", event.pool},
               {"action", to_string(verdict.action)},
               {"for_ms", verdict.pause_ms},
               {"reason", verdict.reason},
               {"request", item->id}});
}

void dispatcher::try_again(const active_ptr& item, const std::string& why, bool started)
{
    const retry_rule& rule = parts_.view.state().rules_in_force.retry;
    trace(*item, why);
    failed_send question;
    question.service = item->request.service;
    question.team = item->request.team;
    question.safety = !started                       ? retry_safety::not_started
                      : item->request.non_idempotent ? retry_safety::unsafe
                                                     : retry_safety::idempotent;
    question.attempts = item->attempts;
    question.refusals = item->unstarted;
    if (item->deadline_at > 0) {
        question.deadline_left_ms = std::max<std::int64_t>(1, item->deadline_at - monotonic_ms());
    }
    const retry_verdict verdict = retries_.decide(question, rule, random_());
    log_event(log_level::info, "retry",
              {{"request", item->id}, {"cause", why}, {"repeat", verdict.retry}, {"reason", verdict.text()}});
    if (!verdict.retry) {
        // A send that may have run without an answer leaves the outcome open.
        const outcome result = !item->sent               ? outcome::not_run
                               : item->failed_at.empty() ? outcome::unknown
                                                         : outcome::failed;
        finish(item, make_refusal(result, why + "; " + to_string(verdict.refusal), retry_after_ms));
        return;
    }
    retried_.add();
    item->backoff = parts_.loop.after(verdict.backoff_ms, [this, item] {
        if (!item->finished) {
            enqueue(item);
        }
    });
}

bool dispatcher::cancel(const std::string& request_id, const std::string& why)
{
    const auto named = own_ids_.find(request_id);
    const auto found = requests_.find(named == own_ids_.end() ? request_id : named->second);
    if (found == requests_.end()) {
        return false;
    }
    const active_ptr item = found->second;
    // Before the log's verdict nobody knows whether an earlier request with this key has run.
    const bool undecided = !item->wanted_claim.empty();
    const bool may_have_run = item->sent || item->call != 0 || undecided;
    const call_id call = item->call;
    finish(item, make_refusal(may_have_run ? outcome::unknown : outcome::not_run, why, retry_after_ms));
    parts_.client.cancel(call);
    if (call != 0) {
        stop_task(*item);
    }
    return true;
}

void dispatcher::stop_task(const active_request& item)
{
    const auto machine = parts_.view.state().hosts.find(item.host);
    if (machine == parts_.view.state().hosts.end()) {
        return;
    }
    http_call call;
    call.method = "DELETE";
    call.address = machine->second.spec.address;
    call.path = "/tasks/" + item.id;
    // Best effort: the lease ends the task in any case.
    parts_.client.send(call, [](const http_answer&) {});
}

void dispatcher::abandon(const std::string& request_id)
{
    const auto found = requests_.find(request_id);
    if (found == requests_.end()) {
        return;
    }
    trace(*found->second, "the caller closed the connection");
    // What was sent runs on: a repeat of its key shall get the answer.
    if (!found->second->sent && found->second->call == 0) {
        cancel(request_id, "the caller closed the connection");
    }
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
    count_gone(*item);
    requests_.erase(item->id);
    const auto named = own_ids_.find(item->request.own_id);
    if (named != own_ids_.end() && named->second == item->id) {
        own_ids_.erase(named);
    }
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
