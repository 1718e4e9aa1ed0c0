// Simulates several entry nodes that send to the same workers. No node sees the total load.
#include "bench.hpp"

#include "waxwingnotch/decision/routing.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace bench {

namespace {

using namespace waxwingnotch;

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t worker_count = 10;
constexpr std::uint32_t slots = 8;
constexpr std::uint32_t connections = 64;
constexpr std::size_t request_count = 60'000;
constexpr double one_way_latency_ms = 1;    // between any two processes
constexpr double retry_interval_ms = 10;    // of dispatch, while requests wait at a node
constexpr double grant_timeout_ms = 20;     // with `granted_or_alone`
constexpr double outage_start_ms = 20'000;  // the granting node crashes or is paused
constexpr double outage_ms = 3'000;         // until another node takes over granting

/// How the entry nodes share the workers' slots.
enum class sharing {
    alone,             // each node decides for itself; a worker without a free slot refuses
    divided,           // each node has a fixed part of every worker's slots
    granted,           // one node grants slots in the order of the grant requests; the others wait for grants
    granted_or_alone,  // same, but after grant_timeout_ms a node sends without a grant
};

struct request {
    double arrives_ms = 0;
    double run_ms = 0;
    std::size_t node = 0;
    bool started = false;
};

enum class event_kind {
    arrive,
    deliver,
    finish,
    answer,
    retry_dispatch,
    request_grant,
    grant,
    release,
    grant_timeout,
    takeover,
};

struct event {
    double time_ms = 0;
    std::uint64_t sequence = 0;  // of creation; orders events with equal times
    event_kind kind = event_kind::arrive;
    std::size_t node = 0;
    std::size_t worker = 0;
    std::size_t request = 0;
    bool refused = false;
    bool granted = false;    // the send uses a grant
    std::uint32_t busy = 0;  // slots in use at the worker when it answers
    bool operator>(const event& other) const
    {
        return time_ms != other.time_ms ? time_ms > other.time_ms : sequence > other.sequence;
    }
};

struct node_state {
    std::deque<std::size_t> waiting;
    std::array<std::uint32_t, worker_count> in_flight{};
    std::array<slot_report, worker_count> reports{};
    bool retry_scheduled = false;
};

struct sharing_result {
    std::vector<double> waits;         // of all requests, ms
    std::vector<double> outage_waits;  // of requests that arrive during the outage at the other nodes, ms
    std::uint64_t refusals = 0;
    std::uint64_t messages = 0;  // between nodes, plus refused sends and their answers
};

/// @param even true: all nodes get the same share of the requests; false: the last one gets twice the share
std::vector<request> make_requests(double load, std::size_t nodes, bool even)
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> short_run_ms(std::log(100), 0.5);
    std::uniform_real_distribution<double> uniform(0, 1);
    constexpr double long_share = 0.03;
    constexpr double long_factor = 15;
    std::vector<request> all(request_count);
    double sum = 0;
    for (request& item : all) {
        item.run_ms = short_run_ms(random) * (uniform(random) < long_share ? long_factor : 1);
        sum += item.run_ms;
    }
    std::exponential_distribution<double> interarrival(load * worker_count * slots * request_count / sum);
    double now = 0;
    for (request& item : all) {
        now += interarrival(random);
        item.arrives_ms = now;
        item.node = even ? random() % nodes : std::min(nodes - 1, random() % (nodes + 1));
    }
    return all;
}

class simulation {
public:
    simulation(sharing mode, std::vector<request> requests, std::size_t nodes, bool outage)
        : mode_(mode), requests_(std::move(requests)), nodes_(nodes), outage_(outage), random_(seed)
    {
    }

    sharing_result run()
    {
        for (std::size_t index = 0; index < requests_.size(); ++index) {
            schedule(
                {.time_ms = requests_[index].arrives_ms, .node = requests_[index].node, .request = index});
        }
        if (outage_ && uses_grants()) {
            schedule({.time_ms = outage_start_ms + outage_ms, .kind = event_kind::takeover});
        }
        while (!events_.empty()) {
            const event current = events_.top();
            events_.pop();
            now_ = current.time_ms;
            handle(current);
        }
        std::sort(result_.waits.begin(), result_.waits.end());
        std::sort(result_.outage_waits.begin(), result_.outage_waits.end());
        return result_;
    }

private:
    bool uses_grants() const { return mode_ == sharing::granted || mode_ == sharing::granted_or_alone; }
    bool granting_node_is_down() const
    {
        return outage_ && now_ >= outage_start_ms && now_ < outage_start_ms + outage_ms;
    }
    void schedule(event next)
    {
        next.sequence = ++last_sequence_;
        events_.push(next);
    }
    /// Schedules a message between @p node and the granting node. It takes no time and is not counted if
    /// both are the same node.
    void schedule_message(event next, std::size_t node)
    {
        const bool local = node == granting_node_;
        result_.messages += local ? 0 : 1;
        next.time_ms = now_ + (local ? 0 : one_way_latency_ms);
        schedule(next);
    }

    void handle(const event& current)
    {
        switch (current.kind) {
        case event_kind::arrive:
            arrive(current);
            break;
        case event_kind::deliver:
            deliver(current);
            break;
        case event_kind::finish:
            finish(current);
            break;
        case event_kind::answer:
            answer(current);
            break;
        case event_kind::retry_dispatch:
            nodes_[current.node].retry_scheduled = false;
            dispatch(current.node);
            break;
        case event_kind::request_grant:
            if (!granting_node_is_down()) {
                grant_queue_.push_back(current.node);
                grant_free_slots();
            }
            break;
        case event_kind::grant:
            use_grant(current);
            break;
        case event_kind::release:
            if (!granting_node_is_down()) {
                granted_[current.worker] -= std::min(1U, granted_[current.worker]);
                grant_free_slots();
            }
            break;
        case event_kind::grant_timeout:
            if (!requests_[current.request].started) {
                dispatch_without_grant(current.node);
            }
            break;
        case event_kind::takeover:
            take_over_granting();
            break;
        }
    }

    void arrive(const event& current)
    {
        nodes_[current.node].waiting.push_back(current.request);
        if (!uses_grants()) {
            dispatch(current.node);
            return;
        }
        schedule_message({.kind = event_kind::request_grant, .node = current.node}, current.node);
        if (mode_ == sharing::granted_or_alone) {
            schedule({.time_ms = now_ + grant_timeout_ms,
                      .kind = event_kind::grant_timeout,
                      .node = current.node,
                      .request = current.request});
        }
    }

    // ---- The granting node ----

    void grant_free_slots()
    {
        while (!grant_queue_.empty()) {
            const auto least_loaded = std::min_element(granted_.begin(), granted_.end());
            if (*least_loaded >= slots) {
                return;
            }
            ++*least_loaded;
            const std::size_t node = grant_queue_.front();
            grant_queue_.pop_front();
            schedule_message({.kind = event_kind::grant,
                              .node = node,
                              .worker = static_cast<std::size_t>(least_loaded - granted_.begin())},
                             node);
        }
    }

    void use_grant(const event& current)
    {
        if (nodes_[current.node].waiting.empty()) {
            schedule_message({.kind = event_kind::release, .node = current.node, .worker = current.worker},
                             current.node);
            return;
        }
        send(current.node, current.worker, true);
    }

    /// Node 1 becomes the granting node. It restores its state from the requests in flight and waiting
    /// that all nodes report.
    void take_over_granting()
    {
        granting_node_ = 1;
        granted_ = {};
        grant_queue_.clear();
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            result_.messages += node == granting_node_ ? 0 : 1;
            for (std::size_t worker = 0; worker < worker_count; ++worker) {
                granted_[worker] += nodes_[node].in_flight[worker];
            }
            grant_queue_.insert(grant_queue_.end(), nodes_[node].waiting.size(), node);
        }
        grant_free_slots();
    }

    // ---- An entry node ----

    void dispatch(std::size_t node)
    {
        if (uses_grants()) {
            return;
        }
        dispatch_without_grant(node);
    }

    void dispatch_without_grant(std::size_t node)
    {
        node_state& state = nodes_[node];
        while (!state.waiting.empty()) {
            const auto worker = choose_worker(node);
            if (!worker) {
                break;
            }
            send(node, *worker, false);
        }
        if (!state.waiting.empty() && !state.retry_scheduled) {
            state.retry_scheduled = true;
            schedule({.time_ms = now_ + retry_interval_ms, .kind = event_kind::retry_dispatch, .node = node});
        }
    }

    std::optional<std::size_t> choose_worker(std::size_t node)
    {
        const node_state& state = nodes_[node];
        const auto nodes = static_cast<std::uint32_t>(nodes_.size());
        std::vector<route_candidate> candidates;
        for (std::size_t worker = 0; worker < worker_count; ++worker) {
            // The nodes that get the remainder of the division change from worker to worker.
            const std::uint32_t extra = (worker + node) % nodes < slots % nodes ? 1 : 0;
            const bool divided = mode_ == sharing::divided;
            candidates.push_back(
                {.host = {},
                 .slots = divided ? slots / nodes + extra : slots,
                 .in_flight_here = state.in_flight[worker],
                 .busy_elsewhere =
                     divided ? 0 : busy_elsewhere(state.reports[worker], static_cast<std::int64_t>(now_)),
                 .connections_left =
                     connections / nodes - std::min(connections / nodes, state.in_flight[worker])});
        }
        const auto choice = choose_upstream(candidates, random_());
        return choice ? std::optional(choice->index) : std::nullopt;
    }

    void send(std::size_t node, std::size_t worker, bool granted)
    {
        node_state& state = nodes_[node];
        const std::size_t index = state.waiting.front();
        state.waiting.pop_front();
        ++state.in_flight[worker];
        schedule({.time_ms = now_ + one_way_latency_ms,
                  .kind = event_kind::deliver,
                  .node = node,
                  .worker = worker,
                  .request = index,
                  .granted = granted});
    }

    void answer(const event& current)
    {
        node_state& state = nodes_[current.node];
        --state.in_flight[current.worker];
        const std::uint32_t others = current.busy - std::min(current.busy, state.in_flight[current.worker]);
        state.reports[current.worker] = {others, static_cast<std::int64_t>(now_)};
        if (current.refused) {
            state.waiting.push_front(current.request);
        }
        if (current.granted) {
            schedule_message({.kind = event_kind::release, .node = current.node, .worker = current.worker},
                             current.node);
        }
        if (current.refused && uses_grants()) {
            schedule_message({.kind = event_kind::request_grant, .node = current.node}, current.node);
        }
        dispatch(current.node);
    }

    // ---- A worker ----

    void deliver(const event& current)
    {
        event reply = current;
        if (running_[current.worker] >= slots) {
            ++result_.refusals;
            result_.messages += 2;
            reply.time_ms = now_ + one_way_latency_ms;
            reply.kind = event_kind::answer;
            reply.refused = true;
            reply.busy = running_[current.worker];
            schedule(reply);
            return;
        }
        ++running_[current.worker];
        request& item = requests_[current.request];
        item.started = true;
        const double waited = now_ - item.arrives_ms;
        result_.waits.push_back(waited);
        const bool in_outage =
            item.arrives_ms >= outage_start_ms && item.arrives_ms < outage_start_ms + outage_ms;
        if (in_outage && item.node != 0) {
            result_.outage_waits.push_back(waited);
        }
        reply.time_ms = now_ + item.run_ms;
        reply.kind = event_kind::finish;
        schedule(reply);
    }

    void finish(const event& current)
    {
        event reply = current;
        reply.busy = --running_[current.worker];
        reply.time_ms = now_ + one_way_latency_ms;
        reply.kind = event_kind::answer;
        schedule(reply);
    }

    sharing mode_;
    std::vector<request> requests_;
    std::vector<node_state> nodes_;
    bool outage_;
    std::mt19937_64 random_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t last_sequence_ = 0;
    double now_ = 0;
    std::array<std::uint32_t, worker_count> running_{};
    std::size_t granting_node_ = 0;
    std::array<std::uint32_t, worker_count> granted_{};
    std::deque<std::size_t> grant_queue_;
    sharing_result result_;
};

double quantile(const std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (const double value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// Adds the figures of a comparison: @p ours gives the values, @p other the baselines.
void compare(figures& out, const std::string& suffix, const sharing_result& ours, const sharing_result& other)
{
    const auto per_request = [](std::uint64_t count) {
        return static_cast<double>(count) / request_count;
    };
    out.push_back({"entry_wait_mean_" + suffix, mean(ours.waits), "ms", mean(other.waits)});
    out.push_back(
        {"entry_wait_p99_" + suffix, quantile(ours.waits, 0.99), "ms", quantile(other.waits, 0.99)});
    out.push_back(
        {"entry_refusals_" + suffix, per_request(ours.refusals), "per_req", per_request(other.refusals)});
    out.push_back(
        {"entry_messages_" + suffix, per_request(ours.messages), "per_req", per_request(other.messages)});
}

/// Compares with `divided` in its best case: every node has the same load.
void compare_even(figures& out, std::size_t nodes)
{
    const std::vector<request> requests = make_requests(0.8, nodes, true);
    const sharing_result ours = simulation(sharing::alone, requests, nodes, false).run();
    const sharing_result other = simulation(sharing::divided, requests, nodes, false).run();
    compare(out, std::to_string(nodes) + "_080_even_vs_divided", ours, other);
}

void compare_outage(figures& out, std::size_t nodes, double load)
{
    const std::vector<request> requests = make_requests(load, nodes, false);
    const auto ours = simulation(sharing::alone, requests, nodes, true).run().outage_waits;
    for (const auto& [name, mode] :
         {std::pair{"granted", sharing::granted}, {"granted_or_alone", sharing::granted_or_alone}}) {
        const auto other = simulation(mode, requests, nodes, true).run().outage_waits;
        out.push_back({std::string("entry_outage_p99_") + std::to_string(nodes) + "_vs_" + name,
                       quantile(ours, 0.99), "ms", quantile(other, 0.99)});
    }
}

}  // namespace

void bench_entry_nodes(figures& out)
{
    constexpr std::array<std::pair<const char*, sharing>, 3> others = {
        {{"divided", sharing::divided},
         {"granted", sharing::granted},
         {"granted_or_alone", sharing::granted_or_alone}}};
    for (const std::size_t nodes : {3U, 8U}) {
        for (const auto& [label, load] : {std::pair{"050", 0.5}, {"080", 0.8}, {"095", 0.95}}) {
            const std::vector<request> requests = make_requests(load, nodes, false);
            const sharing_result ours = simulation(sharing::alone, requests, nodes, false).run();
            for (const auto& [name, mode] : others) {
                const sharing_result other = simulation(mode, requests, nodes, false).run();
                compare(out, std::to_string(nodes) + "_" + label + "_vs_" + name, ours, other);
            }
        }
        compare_even(out, nodes);
        compare_outage(out, nodes, 0.8);
    }
}

}  // namespace bench
