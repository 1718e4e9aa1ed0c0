#include "waxwingnotch/job/progress.hpp"

#include <algorithm>

namespace waxwingnotch {

void add_given_up(task_progress& task, std::uint32_t run)
{
    remove_given_up(task, run);
    task.given_up.push_back(run);
    if (task.given_up.size() > max_given_up_runs) {
        task.given_up.erase(task.given_up.begin());
    }
}

bool remove_given_up(task_progress& task, std::uint32_t run)
{
    return std::erase(task.given_up, run) > 0;
}

bool occurrence_progress::step_done(std::size_t step) const
{
    return std::all_of(steps[step].begin(), steps[step].end(),
                       [](const task_progress& task) { return task.phase == task_phase::done; });
}

bool occurrence_progress::done() const
{
    for (std::size_t step = 0; step < steps.size(); ++step) {
        if (!step_done(step)) {
            return false;
        }
    }
    return true;
}

bool occurrence_progress::failed() const
{
    for (const std::vector<task_progress>& tasks : steps) {
        for (const task_progress& task : tasks) {
            if (task.phase == task_phase::failed) {
                return true;
            }
        }
    }
    return false;
}

bool occurrence_progress::started() const
{
    for (const std::vector<task_progress>& tasks : steps) {
        for (const task_progress& task : tasks) {
            if (task.last_run > 0) {
                return true;
            }
        }
    }
    return false;
}

bool occurrence_progress::ready(const step_spec& spec) const
{
    return std::all_of(spec.depends_on.begin(), spec.depends_on.end(),
                       [this](std::uint32_t step) { return step_done(step); });
}

std::string_view to_string(job_state state)
{
    switch (state) {
    case job_state::queued:
        return "queued";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unnamed";
}

occurrence_progress make_occurrence(const job_spec& job)
{
    occurrence_progress progress;
    for (const step_spec& step : job.steps) {
        progress.steps.emplace_back(step.task_count);
    }
    return progress;
}

}  // namespace waxwingnotch
