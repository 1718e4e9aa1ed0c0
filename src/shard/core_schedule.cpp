/// Scheduling of a shard: which waiting tasks start now, and where.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/job_order.hpp"

#include <algorithm>
#include <tuple>

namespace waxwingnotch {

namespace {

constexpr std::int64_t advice_retry_ms = 300;   // after a question without an answer
constexpr std::int64_t advice_margin_ms = 500;  // a ticket is not used this close to its end
constexpr std::size_t advice_workers = 100;     // the policy service takes no more at once
constexpr double copy_after = 2.5;           // a second copy starts after this multiple of the expected time
constexpr std::int64_t copy_floor_ms = 600;  // and not before
constexpr std::int64_t outlook_ms = 500;     // learned run times move by a few percent in this time
constexpr std::int64_t default_task_ms = 500;  // expected of a task without an estimate

}  // namespace

std::int64_t shard_core::expected_ms(const job_entry& job, std::uint32_t step) const
{
    const step_spec& spec = job.spec.steps[step];
    if (spec.long_running) {
        return 0;
    }
    const auto ratio = duration_ratio_.find(job.spec.queue);
    const double declared = static_cast<double>(spec.estimate_ms > 0 ? spec.estimate_ms : default_task_ms);
    return static_cast<std::int64_t>(declared * (ratio == duration_ratio_.end() ? 1.0 : ratio->second));
}

/// @param progress null: of the whole job; else of what is left
std::int64_t shard_core::chain_ms(const job_entry& job, const occurrence_progress* progress) const
{
    std::vector<std::int64_t> end(job.spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        std::int64_t start = 0;
        for (const std::uint32_t earlier : job.spec.steps[step].depends_on) {
            start = std::max(start, end[earlier]);
        }
        const bool done = progress != nullptr && progress->step_done(step);
        end[step] = start + (done ? 0 : expected_ms(job, step));
        longest = std::max(longest, end[step]);
    }
    return longest;
}

/// @param ready_only without the steps that wait for earlier ones
std::int64_t shard_core::waiting_cpu_ms(const occurrence_entry& item, bool ready_only) const
{
    std::int64_t total = 0;
    for (std::uint32_t step = 0; step < item.progress.steps.size(); ++step) {
        const step_spec& spec = item.step(step);
        if (ready_only && !item.progress.ready(spec)) {
            continue;
        }
        const auto left =
            std::count_if(item.progress.steps[step].begin(), item.progress.steps[step].end(),
                          [](const task_progress& task) { return task.phase == task_phase::waiting; });
        total += left * expected_ms(*item.job, step) * spec.need.cpu_milli / 1'000;
    }
    return total;
}

/// Room that the waiting tasks of a long-running job need.
resources shard_core::waiting_room(const occurrence_entry& item) const
{
    resources total;
    for (std::uint32_t step = 0; step < item.progress.steps.size(); ++step) {
        const step_spec& spec = item.step(step);
        if (!item.progress.ready(spec)) {
            continue;
        }
        for (const task_progress& task : item.progress.steps[step]) {
            const bool waits = task.phase == task_phase::waiting;
            total.cpu_milli += waits && !spec.fills ? spec.need.cpu_milli : 0;
            total.memory_mb += waits ? spec.need.memory_mb : 0;
        }
    }
    return total;
}

shard_core::placement_round shard_core::round_of(std::string_view service, std::int64_t now_ms)
{
    placement_round round;
    for (auto& [id, worker] : workers_) {
        if (worker->entry.service != service || !worker->listed || !worker->synced ||
            worker->entry.draining || worker->silent_since_ms != 0 || worker->avoid_until_ms > now_ms ||
            worker->closed_until_ms > now_ms || worker->clock_ms < 0) {
            continue;
        }
        const resources& have = worker->entry.capacity;
        round.views.push_back({worker.get(),
                               {have.cpu_milli - worker->used.cpu_milli,
                                have.memory_mb - worker->used.memory_mb, have.gpus - worker->used.gpus}});
    }
    round.measure();
    return round;
}

const waiting_job& shard_core::refresh_outlook(occurrence_entry& item, std::int64_t now_ms)
{
    waiting_job& outlook = item.outlook;
    outlook.age_ms = now_ms - item.due_ms;
    if (item.outlook_until_ms > now_ms) {
        return outlook;
    }
    item.outlook_until_ms = now_ms + outlook_ms;
    const job_entry& job = *item.job;
    const queue_config* queue = config_ ? config_->queue(job.spec.queue) : nullptr;
    const double stretch = queue != nullptr ? queue->stretch : 1.0;
    outlook.long_running = job.spec.long_running();
    outlook.priority = queue != nullptr ? queue->priority : 0;
    outlook.objective_ms = static_cast<std::int64_t>(stretch * static_cast<double>(chain_ms(job, nullptr))) +
                           (queue != nullptr ? queue->target_ms : 0);
    outlook.remaining_ms = chain_ms(job, &item.progress);
    outlook.remaining_cpu_ms = waiting_cpu_ms(item, false);
    return outlook;
}

void shard_core::schedule(std::int64_t now_ms)
{
    struct queued {
        std::tuple<int, int, std::int64_t> key;
        occurrence_entry* item;
    };
    std::map<std::string_view, std::vector<queued>> services;
    for (occurrence_entry* item : open_) {
        if (item->waiting > 0) {
            services[item->job->spec.service].push_back({order_key(refresh_outlook(*item, now_ms)), item});
        }
    }
    for (auto& [service, items] : services) {
        std::sort(items.begin(), items.end(), [](const queued& a, const queued& b) {
            return std::tie(a.key, a.item->due_ms, a.item->job->spec.id) <
                   std::tie(b.key, b.item->due_ms, b.item->job->spec.id);
        });
        placement_round round = round_of(service, now_ms);
        for (const queued& one : items) {
            schedule_occurrence(*one.item, round, now_ms);
        }
    }
}

void shard_core::schedule_occurrence(occurrence_entry& item, placement_round& round, std::int64_t now_ms)
{
    if (item.job->spec.repeat_count > 0 && item.due_ms > now_ms) {
        return;
    }
    for (std::uint32_t step = 0; step < item.progress.steps.size(); ++step) {
        const step_spec& spec = item.step(step);
        // A pool that is full cannot take most of what waits; that is seen without a look at each worker.
        if (!fits(spec, round.largest) || !item.progress.ready(spec)) {
            continue;
        }
        const bool any =
            std::any_of(item.progress.steps[step].begin(), item.progress.steps[step].end(),
                        [](const task_progress& task) { return task.phase == task_phase::waiting; });
        if (!any || !advice_ready(item, step, now_ms)) {
            continue;
        }
        if (spec.gang) {
            schedule_gang(item, step, round, now_ms);
            continue;
        }
        for (std::uint32_t index = 0; index < item.progress.steps[step].size(); ++index) {
            // Tasks of a step need the same room, so the first that finds none ends the search.
            if (item.task(step, index).phase == task_phase::waiting &&
                !place(item, step, index, round, now_ms)) {
                round.measure();
                break;
            }
        }
    }
}

int shard_core::best_view(const occurrence_entry& item, std::uint32_t step, std::uint32_t index,
                          const std::vector<placement_view>& views, std::int64_t now_ms)
{
    const step_spec& spec = item.step(step);
    const auto advice =
        advice_.empty() ? advice_.end() : advice_.find(item.key() + "." + std::to_string(step));
    const bool advised = advice != advice_.end() && advice->second.valid_until_ms > 0;
    std::map<const worker_state*, std::uint32_t> on_worker;
    std::map<std::string_view, std::uint32_t> on_rack;
    const bool counted = spec.max_per_worker > 0 || spec.long_running || spec.speculative || spec.same_rack;
    for (std::uint32_t at = 0; counted && at < item.progress.steps[step].size(); ++at) {
        for (const active_run& run : item.progress.steps[step][at].runs) {
            const auto worker = workers_.find(run.worker.id);
            if (worker != workers_.end()) {
                ++on_worker[worker->second.get()];
                ++on_rack[worker->second->entry.rack];
            }
        }
    }
    const auto failed = item.failed_on.find({step, index});
    const task_progress& task = item.progress.steps[step][index];
    std::vector<placement_candidate> candidates(views.size());
    for (std::size_t at = 0; at < views.size(); ++at) {
        const worker_state& worker = *views[at].worker;
        placement_candidate& candidate = candidates[at];
        candidate.free = views[at].free;
        candidate.eligible = fits(spec, candidate.free);
        if (!candidate.eligible) {
            continue;
        }
        candidate.rack = &worker.entry.rack;
        candidate.capacity = worker.entry.capacity;
        if (counted) {
            const auto here = on_worker.find(&worker);
            const auto near = on_rack.find(worker.entry.rack);
            candidate.same_step = here == on_worker.end() ? 0 : here->second;
            candidate.same_step_rack = near == on_rack.end() ? 0 : near->second;
        }
        candidate.trouble = worker.trouble;
        candidate.failed_task = failed != item.failed_on.end() && failed->second.contains(worker.entry.id);
        const bool label =
            spec.required_label.empty() || std::find(worker.entry.labels.begin(), worker.entry.labels.end(),
                                                     spec.required_label) != worker.entry.labels.end();
        const bool allowed = !advised || (advice->second.tickets.contains(worker.entry.id) &&
                                          advice->second.valid_until_ms > now_ms);
        const bool twin = std::any_of(task.runs.begin(), task.runs.end(), [&](const active_run& run) {
            return run.worker.id == worker.entry.id;
        });
        candidate.eligible = label && allowed && !twin;
    }
    return choose_worker(spec, candidates);
}

bool shard_core::place(occurrence_entry& item, std::uint32_t step, std::uint32_t index,
                       placement_round& round, std::int64_t now_ms)
{
    const int chosen = best_view(item, step, index, round.views, now_ms);
    if (chosen < 0) {
        return false;
    }
    placement_view& view = round.views[static_cast<std::size_t>(chosen)];
    task_progress& task = item.task(step, index);
    item.waiting -= task.phase == task_phase::waiting ? 1 : 0;
    task.phase = task_phase::active;
    ++task.last_run;
    run_entry& run = add_run(item, step, index, task.last_run, *view.worker);
    run.batch = batch_ + 1;
    run.ordered_ms = now_ms;
    writing_[run.batch].push_back(run.key());
    view.take(item.step(step));
    item.job->started = true;
    mark(item);
    return true;
}

/// Places all tasks of a gang or none; they share a run number.
bool shard_core::schedule_gang(occurrence_entry& item, std::uint32_t step, placement_round& round,
                               std::int64_t now_ms)
{
    std::vector<task_progress>& tasks = item.progress.steps[step];
    const bool whole = std::all_of(tasks.begin(), tasks.end(), [](const task_progress& task) {
        return task.phase == task_phase::waiting;
    });
    if (!whole) {
        return false;
    }
    // A trial on copies first: half a gang would only hold room and time out.
    std::vector<placement_view> trial = round.views;
    const step_spec& spec = item.step(step);
    std::map<const worker_state*, std::uint32_t> taken;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        std::vector<placement_view> open;
        for (const placement_view& view : trial) {
            if (spec.max_per_worker == 0 || taken[view.worker] < spec.max_per_worker) {
                open.push_back(view);
            }
        }
        const int chosen = best_view(item, step, index, open, now_ms);
        if (chosen < 0) {
            return false;
        }
        worker_state* worker = open[static_cast<std::size_t>(chosen)].worker;
        ++taken[worker];
        for (placement_view& view : trial) {
            if (view.worker == worker) {
                view.take(spec);
            }
        }
    }
    std::uint32_t last = 0;
    std::string checkpoint;
    for (const task_progress& task : tasks) {
        last = std::max(last, task.last_run);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        tasks[index].last_run = last;
        tasks[index].checkpoint = checkpoint;
        if (!place(item, step, index, round, now_ms)) {
            stop_task(item, step, 0, now_ms);
            return false;
        }
    }
    return true;
}

/// Starts second copies of tasks that take far longer than expected.
void shard_core::schedule_copies(std::int64_t now_ms)
{
    std::vector<run_entry*> slow;
    for (auto& [key, run] : runs_) {
        const step_spec& spec = run->item->step(run->step);
        if (!spec.speculative || run->stopping || run->stage == run_stage::writing ||
            run->item->task(run->step, run->index).runs.size() != 1 || !open_.contains(run->item)) {
            continue;
        }
        const auto limit = std::max(
            copy_floor_ms, static_cast<std::int64_t>(
                               copy_after * static_cast<double>(expected_ms(*run->item->job, run->step))));
        const bool stuck = run->worker->silent_since_ms != 0;
        if (stuck || now_ms - run->ordered_ms > limit) {
            slow.push_back(run.get());
        }
    }
    for (run_entry* run : slow) {
        placement_round round = round_of(run->item->job->spec.service, now_ms);
        if (place(*run->item, run->step, run->index, round, now_ms)) {
            log_event(
                log_level::info, "copy",
                {{"task", run->task}, {"worker", run->worker->entry.id}, {"ms", now_ms - run->ordered_ms}});
        }
    }
}

/// @return false while the policy service still has to say who may run the step
bool shard_core::advice_ready(occurrence_entry& item, std::uint32_t step, std::int64_t now_ms)
{
    const queue_config* queue = config_ ? config_->queue(item.job->spec.queue) : nullptr;
    if (queue == nullptr || !queue->needs_advice) {
        return true;
    }
    const std::string name = item.key() + "." + std::to_string(step);
    advice_entry& entry = advice_[name];
    if (entry.valid_until_ms - advice_margin_ms > now_ms) {
        return true;
    }
    if (entry.asked && now_ms - entry.asked_ms < advice_retry_ms) {
        return false;
    }
    entry.asked = true;
    entry.asked_ms = now_ms;
    std::vector<std::string> workers;
    for (const placement_view& view : round_of(item.job->spec.service, now_ms).views) {
        const bool known_bad = !entry.tickets.empty() && !entry.tickets.contains(view.worker->entry.id);
        if (!known_bad && workers.size() < advice_workers) {
            workers.push_back(view.worker->entry.id);
        }
    }
    if (!workers.empty()) {
        questions_.push_back({name, std::move(workers)});
    }
    return false;
}

void shard_core::on_advice(const std::string& step, const advice_answer& answer, std::int64_t now_ms)
{
    const auto found = advice_.find(step);
    if (found == advice_.end() || !answer.ok) {
        return;
    }
    found->second.tickets.clear();
    for (const advice_row& row : answer.allowed) {
        found->second.tickets[row.worker_id] = row.ticket;
    }
    found->second.valid_until_ms = now_ms + answer.valid_ms;
    schedule_needed_ = true;
}

shard_effects shard_core::take_effects(std::int64_t now_ms)
{
    shard_effects out;
    if (fenced_ || !loaded_) {
        return out;
    }
    if (schedule_needed_) {
        schedule_needed_ = false;
        schedule(now_ms);
    }
    if (copies_needed_) {
        copies_needed_ = false;
        schedule_copies(now_ms);
    }
    if (batch_needed_) {
        batch_needed_ = false;
        out.batch = ++batch_;
        for (occurrence_entry* item : dirty_) {
            out.writes.emplace_back(item->key(), encode_progress(item->progress));
        }
        dirty_.clear();
    }
    out.forget = std::exchange(forget_, {});
    out.starts = std::exchange(starts_, {});
    out.stops = std::exchange(stops_, {});
    out.paces = std::exchange(paces_, {});
    out.advice = std::exchange(questions_, {});
    plan_holds(now_ms, out);
    return out;
}

}  // namespace waxwingnotch
