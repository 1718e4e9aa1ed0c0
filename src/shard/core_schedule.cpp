/// Scheduling of a shard: which waiting tasks start now, and where.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/decision/job_order.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace waxwingnotch {

namespace {

constexpr double copy_delay_factor = 2.5;        // a copy starts after this multiple of the expected time
constexpr std::int64_t min_copy_delay_ms = 600;  // and not before
constexpr std::int64_t ranking_valid_ms = 500;   // learned run times change by a few percent meanwhile
constexpr double max_waiting_cpu_ms = 1e15;      // of one occurrence; the sum over all stays within 64 bits
constexpr std::int64_t default_task_ms = 500;    // expected run time of a task without an estimate

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

/// @param progress its steps that are done do not count; null: all steps count
/// @return expected run time of the longest chain of dependent steps
std::int64_t shard_core::critical_path_ms(const job_entry& job, const occurrence_progress* progress) const
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

/// @param ready_only leaves out steps whose dependencies are not done
/// @return core-milliseconds that the waiting tasks are expected to take
std::int64_t shard_core::waiting_cpu_ms(const occurrence_entry& occurrence, bool ready_only) const
{
    double total = 0;  // the product of three numbers of a caller may exceed 64 bits
    for (std::uint32_t step = 0; step < occurrence.progress.steps.size(); ++step) {
        const step_spec& spec = occurrence.step(step);
        if (ready_only && !occurrence.progress.ready(spec)) {
            continue;
        }
        const auto left =
            std::count_if(occurrence.progress.steps[step].begin(), occurrence.progress.steps[step].end(),
                          [](const task_progress& task) { return task.phase == task_phase::waiting; });
        total += static_cast<double>(left) * static_cast<double>(expected_ms(*occurrence.job, step)) *
                 static_cast<double>(spec.need.cpu_milli) / 1'000;
    }
    return static_cast<std::int64_t>(std::min(total, max_waiting_cpu_ms));
}

/// Cpu and memory that the waiting tasks of ready steps need; cpu only where it is to be reserved.
resources shard_core::waiting_demand(const occurrence_entry& occurrence) const
{
    resources total;
    for (std::uint32_t step = 0; step < occurrence.progress.steps.size(); ++step) {
        const step_spec& spec = occurrence.step(step);
        if (!occurrence.progress.ready(spec)) {
            continue;
        }
        for (const task_progress& task : occurrence.progress.steps[step]) {
            const bool waits = task.phase == task_phase::waiting;
            total.cpu_milli += waits && !spec.uses_spare_cpu ? spec.need.cpu_milli : 0;
            total.memory_mb += waits ? spec.need.memory_mb : 0;
        }
    }
    return total;
}

/// @return workers that the steps which run or could run now need because of their limit of tasks per worker
std::uint32_t shard_core::min_workers(const occurrence_entry& occurrence) const
{
    std::uint32_t most = 0;
    for (std::uint32_t step = 0; step < occurrence.progress.steps.size(); ++step) {
        const step_spec& spec = occurrence.step(step);
        if (spec.max_per_worker == 0 || !occurrence.progress.ready(spec)) {
            continue;
        }
        const auto& tasks = occurrence.progress.steps[step];
        const auto open = static_cast<std::uint32_t>(
            std::count_if(tasks.begin(), tasks.end(), [](const task_progress& task) {
                return task.phase == task_phase::waiting || task.phase == task_phase::active;
            }));
        most = std::max(most, (open + spec.max_per_worker - 1) / spec.max_per_worker);
    }
    return most;
}

shard_core::placement_round shard_core::make_round(std::string_view service, std::int64_t now_ms)
{
    placement_round round;
    for (auto& [id, worker] : workers_) {
        // A process that has not registered yet may have started in another service.
        if (worker->registered_life_ms != 0 && worker->registered_life_ms != worker->entry.started_ms) {
            continue;
        }
        if (worker->entry.service != service || !worker->registered || !worker->synced ||
            worker->entry.draining || worker->silent_since_ms != 0 || worker->avoid_until_ms > now_ms ||
            worker->closed_until_ms > now_ms || worker->clock_ms < 0) {
            continue;
        }
        const std::optional<resources> unassigned = worker->unassigned_resources();
        if (!unassigned) {
            continue;  // what is being stopped there takes room that is not known
        }
        placement_view& view = round.views.emplace_back();
        view.worker = worker.get();
        view.free = worker->entry.capacity - worker->used - *unassigned;
    }
    if (!suspects_.empty()) {
        reserve_isolation(service, round, now_ms);
    }
    round.update_largest();
    return round;
}

const waiting_job& shard_core::update_ranking(occurrence_entry& occurrence, std::int64_t now_ms)
{
    waiting_job& ranking = occurrence.ranking;
    ranking.age_ms = now_ms - occurrence.due_ms;
    if (occurrence.ranking_until_ms > now_ms) {
        return ranking;
    }
    occurrence.ranking_until_ms = now_ms + ranking_valid_ms;
    const job_entry& job = *occurrence.job;
    ranking.long_running = job.spec.long_running();
    ranking.priority = job.terms.priority;
    ranking.objective_ms =
        static_cast<std::int64_t>(job.terms.stretch * static_cast<double>(critical_path_ms(job, nullptr))) +
        job.terms.target_ms;
    ranking.remaining_ms = critical_path_ms(job, &occurrence.progress);
    ranking.remaining_cpu_ms = waiting_cpu_ms(occurrence, false);
    return ranking;
}

/// @return bytes of the starts that are being stored or have not been answered
std::int64_t shard_core::open_start_bytes() const
{
    std::int64_t bytes = 0;
    for (const auto& [key, run] : runs_) {
        if (run->stage == run_stage::writing || run->stage == run_stage::starting) {
            bytes +=
                static_cast<std::int64_t>(run->occurrence->job->spec.payload.size() + start_overhead_bytes);
        }
    }
    return bytes;
}

void shard_core::schedule(std::int64_t now_ms)
{
    struct queued {
        std::tuple<int, int, std::int64_t> key;
        occurrence_entry* occurrence;
    };
    std::map<std::string_view, std::vector<queued>> services;
    for (occurrence_entry* occurrence : open_) {
        if (occurrence->waiting_tasks > 0) {
            services[occurrence->job->spec.service].push_back(
                {order_key(update_ranking(*occurrence, now_ms)), occurrence});
        }
    }
    for (auto& [service, items] : services) {
        std::sort(items.begin(), items.end(), [](const queued& a, const queued& b) {
            return std::tie(a.key, a.occurrence->due_ms, a.occurrence->job->spec.id) <
                   std::tie(b.key, b.occurrence->due_ms, b.occurrence->job->spec.id);
        });
        placement_round round = make_round(service, now_ms);
        for (const queued& next : items) {
            schedule_occurrence(*next.occurrence, round, now_ms);
        }
    }
    request_advice(now_ms);
}

void shard_core::schedule_occurrence(occurrence_entry& occurrence, placement_round& round,
                                     std::int64_t now_ms)
{
    if (occurrence.job->spec.repeat_count > 0 && occurrence.due_ms > now_ms) {
        return;
    }
    for (std::uint32_t step = 0; step < occurrence.progress.steps.size(); ++step) {
        if (start_bytes_left_ <= 0) {
            return;
        }
        const step_spec& spec = occurrence.step(step);
        // In a full pool most steps fit no worker; this check avoids a search over all workers.
        if (!fits(spec, round.largest) || !occurrence.progress.ready(spec)) {
            continue;
        }
        const bool any_waiting =
            std::any_of(occurrence.progress.steps[step].begin(), occurrence.progress.steps[step].end(),
                        [](const task_progress& task) { return task.phase == task_phase::waiting; });
        if (!any_waiting || !advice_ready(occurrence, step, now_ms)) {
            continue;
        }
        if (spec.gang) {
            schedule_gang(occurrence, step, round, now_ms);
            continue;
        }
        // Tasks of a step need the same resources, so after one that finds no worker the others need no
        // search; isolated tasks and others use different workers.
        std::array<bool, 2> no_worker{};  // for tasks that are not isolated, and for those that are
        for (std::uint32_t index = 0; index < occurrence.progress.steps[step].size(); ++index) {
            if (occurrence.task(step, index).phase != task_phase::waiting) {
                continue;
            }
            if (start_bytes_left_ <= 0) {
                return;
            }
            bool& full = no_worker[!suspects_.empty() && isolated(occurrence, step, index) ? 1 : 0];
            full = full || !place(occurrence, step, index, round, now_ms);
            if (no_worker[0] && (no_worker[1] || suspects_.empty())) {
                break;
            }
        }
        if (no_worker[0] || no_worker[1]) {
            round.update_largest();
        }
    }
}

std::vector<placement_candidate> shard_core::make_candidates(const occurrence_entry& occurrence,
                                                             std::uint32_t step, std::uint32_t index,
                                                             const std::vector<placement_view>& views,
                                                             std::int64_t now_ms) const
{
    const step_spec& spec = occurrence.step(step);
    std::map<const worker_state*, std::uint32_t> on_worker;
    std::map<std::string_view, std::uint32_t> on_rack;
    const bool count_tasks =
        spec.max_per_worker > 0 || spec.long_running || spec.speculative || spec.same_rack;
    for (std::uint32_t i = 0; count_tasks && i < occurrence.progress.steps[step].size(); ++i) {
        for (const active_run& run : occurrence.progress.steps[step][i].runs) {
            const auto worker = workers_.find(run.worker.id);
            if (worker != workers_.end()) {
                ++on_worker[worker->second.get()];
                ++on_rack[worker->second->entry.rack];
            }
        }
    }
    const auto failed = occurrence.failed_on.find({step, index});
    std::vector<placement_candidate> candidates(views.size());
    for (std::size_t i = 0; i < views.size(); ++i) {
        const worker_state& worker = *views[i].worker;
        placement_candidate& candidate = candidates[i];
        candidate.free = views[i].free;
        candidate.eligible =
            fits(spec, candidate.free) && isolation_allows(occurrence, step, index, views[i]);
        if (!candidate.eligible) {
            continue;
        }
        candidate.rack = &worker.entry.rack;
        candidate.capacity = worker.entry.capacity;
        if (count_tasks) {
            const auto on_this_worker = on_worker.find(&worker);
            const auto on_this_rack = on_rack.find(worker.entry.rack);
            candidate.same_step = on_this_worker == on_worker.end() ? 0 : on_this_worker->second;
            candidate.same_step_rack = on_this_rack == on_rack.end() ? 0 : on_this_rack->second;
        }
        if (spec.max_per_worker > 0 && !worker.unassigned.empty()) {
            candidate.same_step += worker.unassigned_tasks(occurrence.key() + "." + std::to_string(step));
        }
        candidate.failure_rate = worker.failure_rate;
        candidate.failed_task =
            failed != occurrence.failed_on.end() && failed->second.contains(worker.entry.id);
        candidate.eligible = may_run(occurrence, step, index, worker, now_ms);
    }
    return candidates;
}

/// Whether the worker has the label and the permission for the task, and no run of it.
bool shard_core::may_run(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                         const worker_state& worker, std::int64_t now_ms) const
{
    if (!awaiting_proof_.empty() && awaits_proof(occurrence, step, index)) {
        return false;
    }
    const std::vector<std::string>& labels = worker.entry.labels;
    const std::string& required = occurrence.step(step).required_label;
    if (!required.empty() && std::find(labels.begin(), labels.end(), required) == labels.end()) {
        return false;
    }
    if (!advice_.empty()) {
        const std::string name = occurrence.key() + "." + std::to_string(step);
        const auto advice = advice_.find(name);
        if (advice != advice_.end() &&
            advice->second.valid_ticket(worker.entry.id, now_ms + ticket_margin_ms(name)) == nullptr) {
            return false;
        }
    }
    const std::vector<active_run>& runs = occurrence.progress.steps[step][index].runs;
    return std::none_of(runs.begin(), runs.end(),
                        [&](const active_run& run) { return run.worker.id == worker.entry.id; });
}

int shard_core::choose_view(const occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                            const std::vector<placement_view>& views, std::int64_t now_ms) const
{
    return choose_worker(occurrence.step(step), make_candidates(occurrence, step, index, views, now_ms));
}

bool shard_core::place(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                       placement_round& round, std::int64_t now_ms)
{
    const int chosen = choose_view(occurrence, step, index, round.views, now_ms);
    if (chosen < 0) {
        return false;
    }
    placement_view& view = round.views[static_cast<std::size_t>(chosen)];
    task_progress& task = occurrence.task(step, index);
    occurrence.waiting_tasks -= task.phase == task_phase::waiting ? 1 : 0;
    task.phase = task_phase::active;
    ++task.last_run;
    run_entry& run = add_run(occurrence, step, index, task.last_run, *view.worker);
    run.batch = batch_ + 1;
    run.ordered_ms = now_ms;
    writing_[run.batch].push_back(run.key());
    view.reserve(occurrence, occurrence.step(step));
    start_bytes_left_ -=
        static_cast<std::int64_t>(occurrence.job->spec.payload.size() + start_overhead_bytes);
    occurrence.job->started = true;
    mark_changed(occurrence, step, index);
    return true;
}

/// Places all tasks of a gang or none; they share a run number.
bool shard_core::schedule_gang(occurrence_entry& occurrence, std::uint32_t step, placement_round& round,
                               std::int64_t now_ms)
{
    std::vector<task_progress>& tasks = occurrence.progress.steps[step];
    const bool all_waiting = std::all_of(tasks.begin(), tasks.end(), [](const task_progress& task) {
        return task.phase == task_phase::waiting;
    });
    if (!all_waiting) {
        return false;
    }
    // Tries on copies of the views first: an incomplete gang would only occupy resources and time out.
    std::vector<placement_view> trial = round.views;
    const step_spec& spec = occurrence.step(step);
    std::map<const worker_state*, std::uint32_t> taken;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        std::vector<placement_view> candidates;
        for (const placement_view& view : trial) {
            if (spec.max_per_worker == 0 || taken[view.worker] < spec.max_per_worker) {
                candidates.push_back(view);
            }
        }
        const int chosen = choose_view(occurrence, step, index, candidates, now_ms);
        if (chosen < 0) {
            return false;
        }
        worker_state* worker = candidates[static_cast<std::size_t>(chosen)].worker;
        ++taken[worker];
        for (placement_view& view : trial) {
            if (view.worker == worker) {
                view.reserve(occurrence, spec);
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
        if (!place(occurrence, step, index, round, now_ms)) {
            stop_task(occurrence, step, 0, now_ms);
            return false;
        }
    }
    return true;
}

/// Starts second copies of tasks that take far longer than expected or whose worker does not answer.
void shard_core::schedule_copies(std::int64_t now_ms)
{
    std::vector<run_entry*> runs_to_copy;
    for (auto& [key, run] : runs_) {
        const step_spec& spec = run->occurrence->step(run->step);
        if (!spec.speculative || run->stopping || run->stage == run_stage::writing ||
            run->occurrence->task(run->step, run->index).runs.size() != 1 ||
            isolated(*run->occurrence, run->step, run->index) || !open_.contains(run->occurrence)) {
            continue;
        }
        const auto limit = std::max(
            min_copy_delay_ms,
            static_cast<std::int64_t>(copy_delay_factor *
                                      static_cast<double>(expected_ms(*run->occurrence->job, run->step))));
        const bool silent = run->worker->silent_since_ms != 0;
        if (silent || now_ms - run->ordered_ms > limit) {
            runs_to_copy.push_back(run.get());
        }
    }
    for (run_entry* run : runs_to_copy) {
        if (start_bytes_left_ <= 0) {
            return;
        }
        placement_round round = make_round(run->occurrence->job->spec.service, now_ms);
        if (place(*run->occurrence, run->step, run->index, round, now_ms)) {
            log_event(
                log_level::info, "copy",
                {{"task", run->task}, {"worker", run->worker->entry.id}, {"ms", now_ms - run->ordered_ms}});
        }
    }
}

shard_effects shard_core::take_effects(std::int64_t now_ms)
{
    shard_effects out;
    if (fenced_ || !loaded_) {
        return out;
    }
    // The room of runs that their workers do not list any more is free again.
    for (auto& [id, worker] : workers_) {
        const auto gone = std::erase_if(
            worker->unassigned, [&state = *worker](const auto& run) { return !state.lists(run.second); });
        schedule_needed_ = schedule_needed_ || gone > 0;
    }
    const bool scheduling = (schedule_needed_ || copies_needed_) && may_start(now_ms);
    if (scheduling && options_.max_open_start_bytes > 0) {
        start_bytes_left_ = options_.max_open_start_bytes - open_start_bytes();
    }
    if (schedule_needed_ && scheduling) {
        schedule_needed_ = false;
        schedule(now_ms);
    }
    if (copies_needed_ && scheduling) {
        copies_needed_ = false;
        schedule_copies(now_ms);
    }
    if (batch_needed_) {
        batch_needed_ = false;
        out.batch = ++batch_;
        // Before the writes: a job that was accepted anew may write the same key.
        for (const std::string& key : std::exchange(deleted_progress_, {})) {
            out.writes.emplace_back(key, std::nullopt);
        }
        write_routes(out);
        const std::size_t max_part_bytes = std::min(part_bytes, options_.max_record_bytes);
        for (occurrence_entry* occurrence : dirty_) {
            for (auto& [key, bytes] : encode_changed_parts(occurrence->progress, occurrence->key(),
                                                           occurrence->parts, max_part_bytes)) {
                out.writes.emplace_back(key, std::move(bytes));
            }
        }
        dirty_.clear();
    }
    out.forget = std::exchange(forgotten_jobs_, {});
    out.starts = std::exchange(starts_, {});
    out.stops = std::exchange(stops_, {});
    out.paces = std::exchange(paces_, {});
    out.advice = std::exchange(advice_requests_, {});
    plan_polls(now_ms, out);
    plan_forwards(now_ms, out);
    return out;
}

}  // namespace waxwingnotch
