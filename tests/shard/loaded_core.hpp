/// @file
/// A core that has taken a shard with one job over, and is driven by hand.
#pragma once

#include "shard_world.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {

/// The only task of the job with this number.
inline std::string task_of(int job)
{
    return id_of(job) + ".0.0.0";
}

/// A core of epoch 7 that has read one job of one step, and its progress. Workers `a` and `b` have
/// registered.
class loaded_core {
public:
    static constexpr std::int64_t start_ms = 100;
    static constexpr std::int64_t worker_age_ms = 60'000;  // of the processes that the previous owner knew

    /// @param task the only task of job 1
    explicit loaded_core(const task_progress& task, const shard_options& options = {.shard = 3, .epoch = 7})
        : loaded_core(shard_world::job(id_of(1), 1), {task}, options)
    {
    }
    loaded_core(const job_spec& job, const std::vector<task_progress>& tasks,
                const shard_options& options = {.shard = 3, .epoch = 7})
        : core(options)
    {
        core.set_config(shard_world::config());
        for (const char* id : {"a", "b"}) {
            core.put_worker(entry(id), start_ms);
        }
        occurrence_progress progress = make_occurrence(job);
        progress.steps[0] = tasks;
        core.load_progress(job.id + ".0", encode_progress(progress));
        core.tick(start_ms, start_ms + worker_age_ms);
        core.add_job(job, 0, start_ms);
        core.finish_load(start_ms);
    }

    /// Registration of worker @p id in its first life.
    static worker_entry entry(const std::string& id)
    {
        return {.id = id,
                .service = "svc",
                .address = "x:1",
                .rack = "r",
                .capacity = {4'000, 9'000, 0},
                .started_ms = 5};
    }

    /// Lets @p worker answer a poll with these lists.
    /// @param sent_ms when the poll was sent
    void answer(const std::string& worker, std::vector<running_row> running, std::vector<ended_row> ended,
                std::int64_t sent_ms, std::int64_t started_ms = 5)
    {
        core.on_poll(worker, sent_ms, false,
                     {.outcome = order_result::ok,
                      .clock_ms = sent_ms,
                      .started_ms = started_ms,
                      .running = std::move(running),
                      .ended = std::move(ended)},
                     sent_ms);
    }

    /// Lets @p worker answer without runs, so that what waits is assigned to it.
    /// @return the batch that stores the assignments; 0: there are none
    std::uint64_t assign(const std::string& worker, std::int64_t now_ms)
    {
        answer(worker, {}, {}, now_ms);
        return core.take_effects(now_ms).batch;
    }

    /// Executes the effects: stores the writes at once.
    /// @return the orders that were given, also those that follow the writes
    shard_effects step(std::int64_t now_ms)
    {
        shard_effects effects = core.take_effects(now_ms);
        if (effects.batch != 0) {
            core.on_stored(effects.batch, now_ms);
            shard_effects after = core.take_effects(now_ms);
            std::move(after.starts.begin(), after.starts.end(), std::back_inserter(effects.starts));
            std::move(after.stops.begin(), after.stops.end(), std::back_inserter(effects.stops));
        }
        return effects;
    }

    shard_core core;
};

}  // namespace waxwingnotch
