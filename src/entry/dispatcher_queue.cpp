// The dispatcher's queues: in which order requests are sent, and to which host.
#include "entry/active_request.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

/// A routing decision with the inputs that decided it.
struct dispatcher::route_view {
    upstream_choice choice;
    std::string pool;
    std::int64_t waited_ms = 0;
};

void dispatcher::enqueue(const active_ptr& item)
{
    item->expected = run_times_.estimate(item->label());
    item->pool_typical_ms = pool_typical_ms(item->request.service);
    item->expected_long = expected_long(queue_rules_, item->expected.median_ms, item->pool_typical_ms);
    if (refuse_late(item, monotonic_ms())) {
        return;
    }
    service_queue& queue = queues_[item->request.service];
    queue.order.push(item->queue_entry());
    queue.items.emplace(item->number, item);
    item->queued = true;
    pump();
}

bool dispatcher::refuse_late(const active_ptr& item, std::int64_t now)
{
    // What may have started cannot be called "not run"; its time limit ends it.
    if (item->sent || !run_times_.misses_deadline(item->expected, item->deadline_at, now)) {
        return false;
    }
    const std::int64_t left = item->deadline_at - now;
    log_event(log_level::info, "late",
              {{"request", item->id},
               {"service", item->request.service},
               {"left_ms", left},
               {"quick_ms", item->expected.p10_ms},
               {"expected_ms", item->expected.median_ms},
               {"expected_by", to_string(item->expected.basis)},
               {"samples", item->expected.samples},
               {"learned_ms_ago", now - item->expected.learned_at},
               {"waited_ms", now - item->arrived_at}});
    finish(item, make_refusal(outcome::not_run,
                              "it cannot make its deadline: " + std::to_string(left) +
                                  " ms are left, and nine tenths of such work run longer than " +
                                  std::to_string(item->expected.p10_ms) + " ms",
                              retry_after_ms));
    return true;
}

void dispatcher::leave_queue(active_request& item)
{
    if (!item.queued) {
        return;
    }
    item.queued = false;
    service_queue& queue = queues_[item.request.service];
    queue.order.remove(item.number);
    queue.items.erase(item.number);
}

void dispatcher::pump()
{
    // Starts behind the service that was served last, so that services that share a pool take turns.
    auto next = queues_.upper_bound(last_served_);
    for (std::size_t left = queues_.size(); left > 0; --left) {
        if (next == queues_.end()) {
            next = queues_.begin();
        }
        if (!next->second.order.empty()) {
            pump_service(next->first);
        }
        ++next;
    }
}

std::int64_t dispatcher::pool_typical_ms(const std::string& service) const
{
    const std::vector<service_rule>& services = parts_.view.state().rules_in_force.services;
    const service_rule* own = find_service(parts_.view.state(), service);
    std::int64_t least = 0;
    for (const service_rule& other : services) {
        if (own == nullptr || other.pool != own->pool) {
            continue;
        }
        const std::int64_t typical = run_times_.service_typical_ms(other.name);
        least = least == 0 || (typical > 0 && typical < least) ? typical : least;
    }
    return least;
}

void dispatcher::wake_later()
{
    if (wakes_) {
        return;
    }
    // Slots that other nodes free are not announced; a look costs one routing decision per service.
    constexpr std::int64_t wake_ms = 10;
    wakes_ = true;
    wake_ = parts_.loop.after(wake_ms, [this] {
        wakes_ = false;
        pump();
    });
}

pool_use dispatcher::use_of(std::string_view pool, std::int64_t now)
{
    const std::uint32_t slots = parts_.upstreams.pool_slots(parts_.view.state(), pool, now);
    const auto running = long_running_.find(pool);
    return {slots / std::max(1U, parts_.alive_nodes()),
            running == long_running_.end() ? 0 : running->second.count(now)};
}

void dispatcher::pump_service(const std::string& service)
{
    // A repeated request may wait for a host that it was not tried on while other hosts have room. It must
    // not hold up the requests behind it, so a few of them are passed over.
    constexpr std::size_t most_passed_over = 16;
    std::vector<queued_work> passed_over;
    service_queue& queue = queues_[service];
    const service_rule* rule = find_service(parts_.view.state(), service);
    const std::int64_t now = monotonic_ms();
    while (passed_over.size() < most_passed_over) {
        pool_use use = rule != nullptr ? use_of(rule->pool, now) : pool_use{};
        use.urgent_share_used_up =
            queue.order.urgent_waits() && !quotas_.limits().urgent_next(service, {use.slots, 0});
        const auto chosen = queue.order.next(use, now);
        if (!chosen) {
            break;
        }
        const active_ptr item = queue.items.at(chosen->id);
        if (!quotas_.may_start(admission_view(*item))) {
            park(item);
            continue;
        }
        if (try_send(item, use) != send_attempt::no_room) {
            continue;
        }
        wake_later();
        if (item->tried.empty()) {
            break;
        }
        queue.order.remove(chosen->id);
        passed_over.push_back(*chosen);
    }
    for (const queued_work& work : passed_over) {
        queue.order.push(work);
    }
}

dispatcher::send_attempt dispatcher::try_send(const active_ptr& item, const pool_use& use)
{
    const fleet_state& state = parts_.view.state();
    const service_rule* service = find_service(state, item->request.service);
    if (service == nullptr) {
        finish(item, make_refusal(item->sent ? outcome::unknown : outcome::not_run,
                                  "the service was removed from the rules", retry_after_ms));
        return send_attempt::ended;
    }
    const std::int64_t now = monotonic_ms();
    if (!item->claim.empty() && now - item->claimed_at > claim_usable_ms) {
        finish(item, make_refusal(outcome::not_run, "its claim is too old to be used", retry_after_ms));
        return send_attempt::ended;
    }
    if (refuse_late(item, now)) {
        return send_attempt::ended;
    }
    const upstream_query query{state, service->pool, parts_.alive_nodes(), now, random_()};
    auto choice = parts_.upstreams.choose(query, item->tried);
    if (!choice && !item->tried.empty() && !parts_.upstreams.any_serving(query, item->tried)) {
        item->tried.clear();
        choice = parts_.upstreams.choose(query, item->tried);
    }
    if (!choice) {
        return send_attempt::no_room;
    }
    const route_view route{*choice, service->pool, now - item->arrived_at};
    log_route(*item, route, use);
    trace(*item, "sent to " + choice->host + " of pool " + route.pool + " at load " +
                     std::to_string(choice->load) +
                     (choice->runner_up.empty() ? std::string() : ", compared with " + choice->runner_up) +
                     "; expected to run " + std::to_string(item->expected.median_ms) + " ms by " +
                     to_string(item->expected.basis));
    if (item->attempts + item->unstarted + item->full == 0) {
        waiting_.record(route.waited_ms);
        if (!item->expected_long) {
            waiting_short_.record(route.waited_ms);
        }
    }
    service_queue& queue = queues_[item->request.service];
    queue.order.take(item->number);
    queue.items.erase(item->number);
    item->queued = false;
    last_served_ = item->request.service;
    send(item, choice->host, state.hosts.at(choice->host));
    return send_attempt::sent;
}

void dispatcher::log_route(const active_request& item, const route_view& route, const pool_use& use) const
{
    const fleet_state& state = parts_.view.state();
    log_event(log_level::info, "route",
              {{"request", item.id},
               {"service", item.request.service},
               {"pool", route.pool},
               {"host", route.choice.host},
               {"load", route.choice.load},
               {"runner_up", route.choice.runner_up},
               {"pool_hosts", route.choice.pool_hosts},
               {"waited_ms", route.waited_ms},
               {"urgent", item.request.urgent},
               {"hold_urgent", use.urgent_share_used_up},
               {"team", item.request.team},
               {"team_share", quotas_.share(item.request.team).value_or(0)},
               {"expected_ms", item.expected.median_ms},
               {"expected_by", to_string(item.expected.basis)},
               {"samples", item.expected.samples},
               {"pool_typical_ms", item.pool_typical_ms},
               {"expected_long", item.expected_long},
               {"long_in_flight", use.long_in_flight},
               {"long_slots", long_slots(queue_rules_, use.slots, route.waited_ms)},
               {"queued_behind", queues_.at(item.request.service).order.size() - 1},
               {"attempt", item.attempts + 1},
               {"refused_full", item.full},
               {"not_started", item.unstarted},
               {"rules", state.rules_document.version},
               {"inventory", state.inventory_document.version}});
}

void dispatcher::note_start(active_request& item, const std::string& pool)
{
    count_start(item);
    item.pool = pool;
    item.sent_at = monotonic_ms();
    const std::int64_t turns_long = item.expected_long ? 0 : long_from_ms(queue_rules_, item.pool_typical_ms);
    long_running_[pool].start(item.number, item.sent_at + turns_long);
}

void dispatcher::note_end(active_request& item, const http_answer& answer)
{
    const std::int64_t now = monotonic_ms();
    const std::int64_t ran = now - item.sent_at;
    long_running_[item.pool].end(item.number);
    constexpr int first_error = 400;
    constexpr int lease_over = 410;
    const bool answered = answer.outcome == call_outcome::answered;
    const bool succeeded = answered && answer.status < first_error;
    count_end(item, succeeded ? std::optional(ran) : std::nullopt);
    if (succeeded) {
        run_times_.record(item.label(), ran, now);
        return;
    }
    // An error says nothing about the run time, since a faulty worker fails at once.
    const bool stopped =
        answered ? answer.status == lease_over : answer.bytes_sent && answer.outcome != call_outcome::failed;
    if (stopped) {
        run_times_.record_stopped(item.label(), ran, now);
    }
}

}  // namespace waxwingnotch
