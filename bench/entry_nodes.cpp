// Several entry nodes that send to the same workers, and none of them sees all of the load.
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
constexpr double latency_ms = 1;           // one way, between any two processes
constexpr double wake_ms = 10;             // a node with waiting requests looks again
constexpr double ask_timeout_ms = 20;      // of a grant, where nodes help themselves
constexpr double outage_from_ms = 20'000;  // the granting node dies or is paused
constexpr double outage_ms = 3'000;        // until the members name another one

/// Ways to share the workers' slots.
enum class sharing {
    alone,             // each node by itself; the worker's refusal is the truth
    divided,           // each node has its own part of every worker's slots
    granted,           // one node grants slots and keeps all requests' order; the others wait for it
    granted_or_alone,  // same, but after a timeout a node helps itself
};

struct request {
    double arrives_ms = 0;
    double run_ms = 0;
    std::size_t node = 0;
    bool started = false;
};

enum class event_kind { arrive, reach, finish, answer, wake, ask, grant, release, ask_timeout, takeover };

struct event {
    double at = 0;
    std::uint64_t order = 0;  // of creation, so that equal times keep it
    event_kind kind = event_kind::arrive;
    std::size_t node = 0;
    std::size_t worker = 0;
    std::size_t request = 0;
    bool refused = false;
    bool granted = false;    // the send uses a grant
    std::uint32_t busy = 0;  // slots in use at the worker, as it answers
    bool operator>(const event& other) const { return at != other.at ? at > other.at : order > other.order; }
};

struct node_state {
    std::deque<std::size_t> waiting;
    std::array<std::uint32_t, worker_count> in_flight{};
    std::array<slot_report, worker_count> reports{};
    bool wakes = false;
};

struct sharing_result {
    std::vector<double> waits;         // of all requests, ms
    std::vector<double> outage_waits;  // of those that arrive at other nodes during the outage
    std::uint64_t refusals = 0;
    std::uint64_t messages = 0;  // between nodes, and refused sends with their answers
};

/// @param even the balancer gives every node the same share; else the last one gets twice the share
std::vector<request> make_requests(double load, std::size_t nodes, bool even)
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> brief(std::log(100), 0.5);
    std::uniform_real_distribution<double> uniform(0, 1);
    constexpr double long_share = 0.03;
    constexpr double long_factor = 15;
    std::vector<request> all(request_count);
    double sum = 0;
    for (request& item : all) {
        item.run_ms = brief(random) * (uniform(random) < long_share ? long_factor : 1);
        sum += item.run_ms;
    }
    std::exponential_distribution<double> gap(load * worker_count * slots * request_count / sum);
    double now = 0;
    for (request& item : all) {
        now += gap(random);
        item.arrives_ms = now;
        item.node = even ? random() % nodes : std::min(nodes - 1, random() % (nodes + 1));
    }
    return all;
}

class simulation {
public:
    simulation(sharing how, std::vector<request> requests, std::size_t nodes, bool outage)
        : how_(how), requests_(std::move(requests)), nodes_(nodes), outage_(outage), random_(seed)
    {
    }

    sharing_result run()
    {
        for (std::size_t index = 0; index < requests_.size(); ++index) {
            push({.at = requests_[index].arrives_ms, .node = requests_[index].node, .request = index});
        }
        if (outage_ && grants()) {
            push({.at = outage_from_ms + outage_ms, .kind = event_kind::takeover});
        }
        while (!events_.empty()) {
            const event now = events_.top();
            events_.pop();
            now_ = now.at;
            handle(now);
        }
        std::sort(result_.waits.begin(), result_.waits.end());
        std::sort(result_.outage_waits.begin(), result_.outage_waits.end());
        return result_;
    }

private:
    bool grants() const { return how_ == sharing::granted || how_ == sharing::granted_or_alone; }
    bool granter_out() const
    {
        return outage_ && now_ >= outage_from_ms && now_ < outage_from_ms + outage_ms;
    }
    void push(event next)
    {
        next.order = ++order_;
        events_.push(next);
    }
    /// A message to or from the granting node. It is free if the node is that one itself.
    void push_message(event next, std::size_t node)
    {
        const bool local = node == granter_;
        result_.messages += local ? 0 : 1;
        next.at = now_ + (local ? 0 : latency_ms);
        push(next);
    }

    void handle(const event& now)
    {
        switch (now.kind) {
        case event_kind::arrive:
            arrive(now);
            break;
        case event_kind::reach:
            reach(now);
            break;
        case event_kind::finish:
            finish(now);
            break;
        case event_kind::answer:
            answer(now);
            break;
        case event_kind::wake:
            nodes_[now.node].wakes = false;
            dispatch(now.node);
            break;
        case event_kind::ask:
            if (!granter_out()) {
                asking_.push_back(now.node);
                grant_all();
            }
            break;
        case event_kind::grant:
            take_grant(now);
            break;
        case event_kind::release:
            if (!granter_out()) {
                granted_[now.worker] -= std::min(1U, granted_[now.worker]);
                grant_all();
            }
            break;
        case event_kind::ask_timeout:
            if (!requests_[now.request].started) {
                dispatch_alone(now.node);
            }
            break;
        case event_kind::takeover:
            take_over();
            break;
        }
    }

    void arrive(const event& now)
    {
        nodes_[now.node].waiting.push_back(now.request);
        if (!grants()) {
            dispatch(now.node);
            return;
        }
        push_message({.kind = event_kind::ask, .node = now.node}, now.node);
        if (how_ == sharing::granted_or_alone) {
            push({.at = now_ + ask_timeout_ms,
                  .kind = event_kind::ask_timeout,
                  .node = now.node,
                  .request = now.request});
        }
    }

    // ---- The granting node ----

    void grant_all()
    {
        while (!asking_.empty()) {
            const auto least = std::min_element(granted_.begin(), granted_.end());
            if (*least >= slots) {
                return;
            }
            ++*least;
            const std::size_t node = asking_.front();
            asking_.pop_front();
            push_message({.kind = event_kind::grant,
                          .node = node,
                          .worker = static_cast<std::size_t>(least - granted_.begin())},
                         node);
        }
    }

    void take_grant(const event& now)
    {
        if (nodes_[now.node].waiting.empty()) {
            push_message({.kind = event_kind::release, .node = now.node, .worker = now.worker}, now.node);
            return;
        }
        send(now.node, now.worker, true);
    }

    /// Another node grants from what the others tell it: their requests in flight and waiting.
    void take_over()
    {
        granter_ = 1;
        granted_ = {};
        asking_.clear();
        for (std::size_t node = 0; node < nodes_.size(); ++node) {
            result_.messages += node == granter_ ? 0 : 1;
            for (std::size_t worker = 0; worker < worker_count; ++worker) {
                granted_[worker] += nodes_[node].in_flight[worker];
            }
            asking_.insert(asking_.end(), nodes_[node].waiting.size(), node);
        }
        grant_all();
    }

    // ---- An entry node ----

    void dispatch(std::size_t node)
    {
        if (grants()) {
            return;
        }
        dispatch_alone(node);
    }

    void dispatch_alone(std::size_t node)
    {
        node_state& here = nodes_[node];
        while (!here.waiting.empty()) {
            const auto worker = choose(node);
            if (!worker) {
                break;
            }
            send(node, *worker, false);
        }
        if (!here.waiting.empty() && !here.wakes) {
            here.wakes = true;
            push({.at = now_ + wake_ms, .kind = event_kind::wake, .node = node});
        }
    }

    std::optional<std::size_t> choose(std::size_t node)
    {
        const node_state& here = nodes_[node];
        const auto nodes = static_cast<std::uint32_t>(nodes_.size());
        std::vector<route_candidate> candidates;
        for (std::size_t worker = 0; worker < worker_count; ++worker) {
            // The remainder of a division goes to other nodes at each worker.
            const std::uint32_t extra = (worker + node) % nodes < slots % nodes ? 1 : 0;
            const bool divided = how_ == sharing::divided;
            candidates.push_back(
                {.host = {},
                 .slots = divided ? slots / nodes + extra : slots,
                 .in_flight_here = here.in_flight[worker],
                 .busy_elsewhere =
                     divided ? 0 : busy_elsewhere(here.reports[worker], static_cast<std::int64_t>(now_)),
                 .connections_left =
                     connections / nodes - std::min(connections / nodes, here.in_flight[worker])});
        }
        const auto choice = choose_upstream(candidates, random_());
        return choice ? std::optional(choice->index) : std::nullopt;
    }

    void send(std::size_t node, std::size_t worker, bool granted)
    {
        node_state& here = nodes_[node];
        const std::size_t index = here.waiting.front();
        here.waiting.pop_front();
        ++here.in_flight[worker];
        push({.at = now_ + latency_ms,
              .kind = event_kind::reach,
              .node = node,
              .worker = worker,
              .request = index,
              .granted = granted});
    }

    void answer(const event& now)
    {
        node_state& here = nodes_[now.node];
        --here.in_flight[now.worker];
        const std::uint32_t others = now.busy - std::min(now.busy, here.in_flight[now.worker]);
        here.reports[now.worker] = {others, static_cast<std::int64_t>(now_)};
        if (now.refused) {
            here.waiting.push_front(now.request);
        }
        if (now.granted) {
            push_message({.kind = event_kind::release, .node = now.node, .worker = now.worker}, now.node);
        }
        if (now.refused && grants()) {
            push_message({.kind = event_kind::ask, .node = now.node}, now.node);
        }
        dispatch(now.node);
    }

    // ---- A worker ----

    void reach(const event& now)
    {
        event reply = now;
        if (running_[now.worker] >= slots) {
            ++result_.refusals;
            result_.messages += 2;
            reply.at = now_ + latency_ms;
            reply.kind = event_kind::answer;
            reply.refused = true;
            reply.busy = running_[now.worker];
            push(reply);
            return;
        }
        ++running_[now.worker];
        request& item = requests_[now.request];
        item.started = true;
        const double waited = now_ - item.arrives_ms;
        result_.waits.push_back(waited);
        const bool in_outage =
            item.arrives_ms >= outage_from_ms && item.arrives_ms < outage_from_ms + outage_ms;
        if (in_outage && item.node != 0) {
            result_.outage_waits.push_back(waited);
        }
        reply.at = now_ + item.run_ms;
        reply.kind = event_kind::finish;
        push(reply);
    }

    void finish(const event& now)
    {
        event reply = now;
        reply.busy = --running_[now.worker];
        reply.at = now_ + latency_ms;
        reply.kind = event_kind::answer;
        push(reply);
    }

    sharing how_;
    std::vector<request> requests_;
    std::vector<node_state> nodes_;
    bool outage_;
    std::mt19937_64 random_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    double now_ = 0;
    std::array<std::uint32_t, worker_count> running_{};
    std::size_t granter_ = 0;
    std::array<std::uint32_t, worker_count> granted_{};
    std::deque<std::size_t> asking_;
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

/// The product's way is the value and the other one the baseline.
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

/// Division at its best: every node has the same load.
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
    for (const auto& [name, how] :
         {std::pair{"granted", sharing::granted}, {"granted_or_alone", sharing::granted_or_alone}}) {
        const auto other = simulation(how, requests, nodes, true).run().outage_waits;
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
            for (const auto& [name, how] : others) {
                const sharing_result other = simulation(how, requests, nodes, false).run();
                compare(out, std::to_string(nodes) + "_" + label + "_vs_" + name, ours, other);
            }
        }
        compare_even(out, nodes);
        compare_outage(out, nodes, 0.8);
    }
}

}  // namespace bench
