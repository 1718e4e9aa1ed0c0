/// @file
/// What the core of a shard asks its caller to do: records to write, orders to workers and questions to other
/// shards.
#pragma once

#include "waxwingnotch/shard/worker_api.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// How an order reaches a worker through another node.
struct relay_route {
    std::uint64_t turn = 0;  // which node passes it on; the nodes take turns
    std::int64_t life_ms =
        0;  // start of the worker's process; a node that knows another one passes nothing on
};

/// Orders to workers.
struct start_effect {
    worker_target worker;
    start_order order;
    std::int64_t life_ms = 0;  // start of the worker's process; a node that knows another one sends nothing
};
constexpr std::size_t start_overhead_bytes = 450;  // of a start beside the payload: the call and its answer
/// Starts of tasks of one job, all with the same payload.
using start_batch = std::vector<start_effect>;
/// Outcomes of the starts of a batch, in its order. Nothing: the start was certainly not sent to its worker.
using batch_outcomes = std::vector<std::optional<order_result>>;
using batch_handler = std::function<void(const batch_outcomes&)>;

struct stop_effect {
    worker_target worker;
    stop_order order;
    std::optional<relay_route> relay = std::nullopt;  // none: it goes straight to the worker
};
struct pace_effect {
    worker_target worker;
    pace_order order;
};
struct poll_effect {
    worker_target worker;
    poll_order order;
    bool extra = false;                               // sent while another poll to this worker is in flight
    std::optional<relay_route> relay = std::nullopt;  // none: it goes straight to the worker
};
/// Stores the record of a job, or of its cancel, in the shard that runs the job.
struct forward_effect {
    std::string id;
    int shard = 0;
    bool cancel = false;
    std::string record;  // encoded job, or that of a cancel
};
/// Asks the shard that runs a forwarded job whether it still knows the job.
struct forward_check {
    std::string id;
    int shard = 0;
};

/// Effects for the caller to execute, in the order of the members.
struct shard_effects {
    std::vector<std::pair<std::string, std::optional<std::string>>> writes;  // progress records by key
    std::uint64_t batch = 0;          // pass it to on_stored() once the writes are stored; 0: not needed
    std::vector<std::string> forget;  // jobs whose records of the job and of its cancel can be deleted
    std::vector<start_effect> starts;
    std::vector<stop_effect> stops;
    std::vector<pace_effect> paces;
    std::vector<poll_effect> polls;
    std::vector<advice_order> advice;
    std::vector<forward_effect> forwards;
    std::vector<forward_check> forward_checks;
};

}  // namespace waxwingnotch
