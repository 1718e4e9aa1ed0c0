/// Gauges of a node; its counters are updated where they count.
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/process.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace waxwingnotch {

namespace {

/// A gauge with the sum of a counter over the shards that this node owns.
struct shard_gauge {
    const char* name;
    const char* help;
    std::uint64_t shard_counts::*count;
};

// All count since this node took its shards over.
constexpr shard_gauge shard_gauges[] = {
    {"worker_crashes", "Workers that crashed with runs on them since this node took their shards over",
     &shard_counts::worker_crashes},
    {"tasks_given_up", "Tasks given up because they crash their workers, since the same time",
     &shard_counts::given_up},
    {"runs_unknown", "Runs that workers listed and no record assigned to them, since the same time",
     &shard_counts::runs_unknown},
    {"runs_adopted", "Of these, runs that went on as their tasks waited, since the same time",
     &shard_counts::runs_adopted},
    {"ends_unknown", "Ends that workers listed of runs that this node has no record of, since the same time",
     &shard_counts::ends_unknown},
    {"ends_adopted", "Ends of given-up runs that ended their tasks, since the same time",
     &shard_counts::ends_adopted},
    {"records_unreadable",
     "Records of jobs and their progress that this version cannot decode, since the same time",
     &shard_counts::records_unreadable},
    {"records_refused", "Records of progress that the store does not take, since the same time",
     &shard_counts::records_refused},
    {"checkpoints_too_long", "Checkpoints that fit into no record and were not kept, since the same time",
     &shard_counts::checkpoints_too_long},
    {"runs_awaited",
     "Runs whose tasks waited for a silent worker after its leases had lapsed, since the same time",
     &shard_counts::awaited},
    {"runs_presumed_lost",
     "Of these, runs that were given up as their workers counted as gone, since the same time",
     &shard_counts::presumed_lost},
    {"starts_held",
     "Times that owners ceased to start tasks until they know newer registrations or jobs, or that they "
     "still "
     "own their shards",
     &shard_counts::starts_held},
};

/// Sets the gauges of the bytes by purpose and of the link.
void set_traffic_gauges(node_state& node)
{
    auto set = [&node](const char* name, const char* help, std::int64_t value) {
        node.counters.make_gauge(name, help).set(value);
    };
    for (std::size_t index = 0; index < traffic_class_count; ++index) {
        const auto what = static_cast<traffic_class>(index);
        const traffic_bytes& bytes = node.traffic.bytes(what);
        const std::string name = to_string(what);
        set(("bytes_sent_" + name).c_str(), "Bytes of HTTP that this process has sent for this purpose",
            static_cast<std::int64_t>(bytes.sent));
        set(("bytes_received_" + name).c_str(), "Bytes of HTTP that it has received for this purpose",
            static_cast<std::int64_t>(bytes.received));
    }
    set("link_kbps", "Rate of the host's link in each direction; 0: not told", node.settings.link_kbps);
    set("link_percent", "Share of the link that the fuller direction used in the last second",
        node.link.percent());
}

}  // namespace

void update_metrics(node_state& node)
{
    auto set = [&node](const char* name, const char* help, std::int64_t value) {
        node.counters.make_gauge(name, help).set(value);
    };
    std::int64_t jobs = 0;
    std::int64_t runs = 0;
    std::int64_t suspects = 0;
    std::int64_t jobs_age_ms = 0;
    std::int64_t ownership_age_ms = 0;
    const std::int64_t now = monotonic_ms();
    std::array<std::int64_t, wait_reason_count> waiting{};
    for (const auto& [shard, owner] : node.shards) {
        for (std::size_t reason = 0; reason < waiting.size(); ++reason) {
            waiting[reason] += static_cast<std::int64_t>(owner->core().waiting_tasks()[reason]);
        }
        jobs += static_cast<std::int64_t>(owner->core().jobs());
        runs += static_cast<std::int64_t>(owner->core().runs());
        suspects += static_cast<std::int64_t>(owner->core().suspected_occurrences());
        jobs_age_ms = std::max(jobs_age_ms, owner->loaded() ? now - owner->complete_until_ms() : 0);
        const std::int64_t confirmed_ms = std::max(owner->confirmed_ms(), node.group->last_join_ms());
        ownership_age_ms = std::max(ownership_age_ms, now - confirmed_ms);
    }
    set("shards_owned", "Shards that this node owns", static_cast<std::int64_t>(node.shards.size()));
    set("jobs_known", "Jobs in the shards of this node", jobs);
    set("runs_active", "Runs that may be under way in the shards of this node", runs);
    set("jobs_suspected", "Job occurrences with a task that is isolated because workers crashed under it",
        suspects);
    for (const shard_gauge& gauge : shard_gauges) {
        std::int64_t sum = 0;
        for (const auto& [shard, owner] : node.shards) {
            sum += static_cast<std::int64_t>(owner->core().counts().*gauge.count);
        }
        set(gauge.name, gauge.help, sum);
    }
    const std::int64_t registrations_ms = node.registrations_until();
    set("registrations_age_ms", "Age of what this node knows of the workers' registrations; 0: follows none",
        registrations_ms == 0 ? 0 : now - registrations_ms);
    set("jobs_age_ms", "Greatest age of what an owner of this node knows of the jobs of its shard",
        jobs_age_ms);
    set("ownership_age_ms",
        "Greatest time since the latest call by which the store confirmed a shard of this node was sent",
        ownership_age_ms);
    constexpr std::pair<wait_reason, const char*> waiting_names[] = {
        {wait_reason::no_worker, "tasks_waiting_no_worker"},
        {wait_reason::no_room, "tasks_waiting_no_room"},
        {wait_reason::not_eligible, "tasks_waiting_not_eligible"},
        {wait_reason::worker_limit, "tasks_waiting_worker_limit"},
    };
    for (const auto& [reason, name] : waiting_names) {
        set(name, "Long-running tasks that wait for this reason", waiting[static_cast<std::size_t>(reason)]);
    }
    constexpr std::int64_t ms_per_s = 1'000;
    const process_usage usage = read_process_usage();
    set("resident_memory_bytes", "Resident memory of this process", usage.resident_bytes);
    set("open_descriptors", "Open file descriptors of this process", usage.open_descriptors);
    set("max_descriptors", "Limit of the system on open_descriptors; -1: none", usage.max_descriptors);
    set("processor_ms", "Processor time of this process since its start", usage.processor_ms);
    set("uptime_s", "Seconds since the start of this process", node.watch.uptime_ms() / ms_per_s);
    set("loop_late_max_ms", "Longest delay of a periodic timer by a busy event loop, since the start",
        node.watch.late_max_ms());
    set("loop_late_recent_ms", "The same within the last 10 to 20 s", node.watch.late_recent_ms());
    for (std::size_t index = 0; index < input_source_count; ++index) {
        const auto source = static_cast<input_source>(index);
        set(("inputs_rejected_" + std::string(to_string(source))).c_str(),
            "Inputs of this writer that were refused, since the start",
            static_cast<std::int64_t>(rejected_inputs(source)));
    }
    set_traffic_gauges(node);
    const bool asks = node.advice != nullptr;
    set("advice_open", "Calls to the policy service that are under way",
        asks ? static_cast<std::int64_t>(node.advice->open()) : 0);
    set("advice_waiting", "Calls that wait for these in this node",
        asks ? static_cast<std::int64_t>(node.advice->waiting()) : 0);
    set("configuration_version", "Version in force", node.config ? node.config->version : -1);
    set("store_straight", "1 if the store answers this node", node.transport.direct_path_usable() ? 1 : 0);
}

}  // namespace waxwingnotch
