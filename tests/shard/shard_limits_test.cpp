/// Numbers at the limits of their types, from workers, callers and the operator. The checks are those of
/// UndefinedBehaviorSanitizer and AddressSanitizer; see scripts/build-sanitize.
#include "loaded_core.hpp"
#include "shard_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace waxwingnotch {
namespace {

constexpr std::int64_t min_number = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t exact_limit = std::int64_t{1} << 53;  // integers up to it are exact in a double

/// Numbers that the core may receive; each source has its own limit.
class number_source {
public:
    explicit number_source(std::uint64_t seed) : random_(seed) {}

    /// @return a small number, or one at a limit within -@p limit to @p limit
    std::int64_t any(std::int64_t limit)
    {
        const std::int64_t low = limit == max_number ? min_number : -limit;
        const std::int64_t numbers[] = {
            0,       1,         -1,        1'000, limit,     low,       limit - 1,
            low + 1, limit / 2, 1LL << 31, 1'700, 1LL << 32, 1LL << 40, 1'700'000'000'000};
        return std::clamp(numbers[below(std::size(numbers))], low, limit);
    }
    std::int64_t not_negative(std::int64_t limit) { return std::max<std::int64_t>(any(limit), 0); }
    std::size_t below(std::size_t limit) { return random_() % limit; }
    bool chance(std::size_t percent) { return below(100) < percent; }

private:
    std::mt19937_64 random_;
};

/// A core that gets random events; its orders are answered at random.
class random_events {
public:
    random_events(std::uint64_t seed, std::int64_t limit) : numbers_(seed), limit_(limit)
    {
        core_.set_config(config());
        core_.tick(now_, 1'700'000'000'000);
        core_.finish_load(now_);
    }

    void run(int events)
    {
        for (int i = 0; i < events; ++i) {
            step();
            answer_effects();
        }
        (void)core_.demand_of("svc");
        (void)core_.pending("q");
    }

private:
    std::shared_ptr<const cluster_config> config()
    {
        auto created = std::make_shared<cluster_config>(*shard_world::config());
        created->queues[0].terms.target_ms = numbers_.any(limit_);
        created->queues[0].terms.stretch = numbers_.chance(20) ? 1e300 : 2;
        created->queues[0].terms.priority = static_cast<int>(numbers_.any(std::numeric_limits<int>::max()));
        return created;
    }

    job_spec random_job()
    {
        job_spec job = shard_world::job(id_of(++jobs_), 1 + static_cast<std::uint32_t>(numbers_.below(3)), 2);
        for (step_spec& step : job.steps) {
            step.need = {numbers_.not_negative(limit_), numbers_.not_negative(limit_),
                         numbers_.not_negative(limit_)};
            step.estimate_ms = numbers_.not_negative(limit_);
            step.latency_target_ms = numbers_.any(limit_);
            step.gang = numbers_.chance(20);
            step.speculative = numbers_.chance(20);
            step.long_running = numbers_.chance(20);
            step.max_per_worker = static_cast<std::uint32_t>(numbers_.below(3));
        }
        job.repeat_count = static_cast<std::uint32_t>(numbers_.below(4));
        job.first_ms = numbers_.any(limit_);
        job.interval_ms = numbers_.any(limit_);
        return job;
    }

    void step()
    {
        now_ += static_cast<std::int64_t>(numbers_.below(700));
        switch (numbers_.below(6)) {
        case 0: {
            worker_entry entry{.id = "w" + std::to_string(numbers_.below(3)),
                               .service = "svc",
                               .address = "127.0.0.1:1",
                               .rack = "r",
                               .capacity = {numbers_.any(limit_), numbers_.any(limit_), numbers_.any(limit_)},
                               .draining = numbers_.chance(20),
                               .started_ms = numbers_.any(limit_)};
            core_.put_worker(entry, now_);
            return;
        }
        case 1:
        case 2: {
            const job_spec job = random_job();
            if (validate(job).empty()) {
                core_.add_job(job, numbers_.any(limit_), now_);
            }
            return;
        }
        case 3:
            core_.cancel_job(id_of(1 + static_cast<int>(numbers_.below(20))), now_);
            return;
        default:
            core_.tick(now_, 1'700'000'000'000 + now_);
        }
    }

    order_answer random_answer() { return {numbers_.chance(80) ? order_result::ok : order_result::no_room}; }

    poll_answer random_list()
    {
        poll_answer answer{.outcome = numbers_.chance(90) ? order_result::ok : order_result::no_answer,
                           .clock_ms = numbers_.any(limit_),
                           .started_ms = numbers_.chance(80) ? 0 : numbers_.any(limit_)};
        for (const auto& [task, run] : ordered_) {
            const auto percent = static_cast<int>(numbers_.any(std::numeric_limits<int>::max()));
            if (numbers_.chance(60)) {
                answer.running.push_back({task, run, "c", percent, numbers_.chance(20) ? 1e308 : 1.5});
            }
            else if (numbers_.chance(40)) {
                answer.ended.push_back({numbers_.any(limit_), task, run,
                                        numbers_.chance(50) ? end_kind::done : end_kind::failed, "c"});
            }
        }
        return answer;
    }

    void answer_effects()
    {
        const shard_effects effects = core_.take_effects(now_);
        if (effects.batch != 0) {
            core_.on_stored(effects.batch, now_);
        }
        for (const start_effect& effect : effects.starts) {
            ordered_.emplace_back(effect.order.task, effect.order.run);
            core_.on_start(effect.worker.id, effect.order, random_answer(), now_);
        }
        for (const stop_effect& effect : effects.stops) {
            core_.on_stop(effect.worker.id, effect.order, random_answer(), now_);
        }
        for (const poll_effect& effect : effects.polls) {
            core_.on_poll(effect.worker.id, now_ - 1, effect.extra, random_list(), now_);
        }
    }

    number_source numbers_;
    std::int64_t limit_;
    std::int64_t now_ = 1'000'000;
    int jobs_ = 0;
    std::vector<std::pair<std::string, std::uint32_t>> ordered_;
    shard_core core_{shard_options{.epoch = 1}};
};

}  // namespace

// Guards against overflow by numbers that the readers let through: integers that are exact in a double.
RC_GTEST_PROP(shard_limits, exact_integers_overflow_nowhere, ())
{
    random_events(*rc::gen::arbitrary<std::uint64_t>(), exact_limit).run(200);
}

// Guards against overflow by any 64-bit integer, as records of the store may contain.
RC_GTEST_PROP(shard_limits, any_integers_overflow_nowhere, ())
{
    random_events(*rc::gen::arbitrary<std::uint64_t>(), max_number).run(200);
}

// Guards against a record of progress that names a run twice: the second entry replaced the first, to which
// the worker's list of runs still pointed.
TEST(shard_limits, a_record_that_names_a_run_twice_is_no_use_of_freed_memory)
{
    occurrence_progress progress = make_occurrence(shard_world::job(id_of(1), 1));
    progress.steps[0][0] = {task_phase::active, 1, 0, {{1, {"a", 5}}, {1, {"a", 5}}, {1, {"b", 5}}}};
    shard_core core({.epoch = 1});
    core.set_config(shard_world::config());
    core.load_progress(id_of(1) + ".0", encode_progress(progress));
    core.tick(100, 100);
    core.add_job(shard_world::job(id_of(1), 1), 0, 100);
    core.finish_load(100);
    (void)core.take_effects(100);
    for (std::int64_t now = 100; now < 30'000; now += 500) {
        core.tick(now, now);
        (void)core.take_effects(now);
    }
    EXPECT_LE(core.runs(), 1U);
}

// Guards against a record of progress with another number of tasks than its step: the job was done, or began
// anew.
TEST(shard_limits, a_record_with_another_number_of_tasks_is_not_used)
{
    occurrence_progress progress;
    progress.steps.resize(1);  // no tasks: all of them would count as done
    shard_core core({.epoch = 1});
    core.set_config(shard_world::config());
    core.put_worker(loaded_core::entry("a"), 100);
    core.load_progress(id_of(1) + ".0", encode_progress(progress));
    core.tick(100, 100);
    core.add_job(shard_world::job(id_of(1), 3), 0, 100);
    core.finish_load(100);
    EXPECT_EQ(core.state_of(id_of(1)), job_state::running);
    for (std::int64_t now = 100; now < 60'000; now += 500) {
        core.on_poll(
            "a", now, false,
            {.outcome = order_result::ok, .clock_ms = now, .started_ms = 5, .running = {}, .ended = {}}, now);
        core.tick(now, now);
        const shard_effects effects = core.take_effects(now);
        ASSERT_TRUE(effects.writes.empty());
        ASSERT_TRUE(effects.starts.empty());
    }
    EXPECT_EQ(core.state_of(id_of(1)), job_state::running);
}

}  // namespace waxwingnotch
