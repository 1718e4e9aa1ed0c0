#include "waxwingnotch/job/spec.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace waxwingnotch {

resources& resources::operator+=(const resources& other)
{
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
}

resources operator-(resources left, const resources& right)
{
    return left -= right;
}

namespace {

constexpr std::size_t id_length = 16;
constexpr std::size_t max_payload_bytes = 4'000;  // documented on the callers' page

}  // namespace

std::uint64_t job_spec::tasks() const
{
    return std::accumulate(steps.begin(), steps.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const step_spec& step) { return sum + step.task_count; });
}

bool job_spec::long_running() const
{
    return std::any_of(steps.begin(), steps.end(), [](const step_spec& step) { return step.long_running; });
}

const queue_config* cluster_config::match(std::string_view host, std::string_view path) const
{
    const queue_config* best = nullptr;
    for (const queue_config& item : queues) {
        if (item.host != host || !path.starts_with(item.path_prefix)) {
            continue;
        }
        if (best == nullptr || item.path_prefix.size() > best->path_prefix.size()) {
            best = &item;
        }
    }
    return best;
}

const queue_config* cluster_config::queue(std::string_view name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const queue_config& item) { return item.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const service_config* cluster_config::service(std::string_view name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const service_config& item) { return item.name == name; });
    return found == services.end() ? nullptr : &*found;
}

std::vector<std::string> cluster_config::service_names() const
{
    std::set<std::string> names;
    for (const service_config& item : services) {
        names.insert(item.name);
    }
    for (const queue_config& item : queues) {
        names.insert(item.service);
    }
    return {names.begin(), names.end()};
}

bool is_job_id(std::string_view id)
{
    return id.size() == id_length && id.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

std::string validate(const job_spec& job, std::uint64_t task_limit)
{
    if (job.payload.size() > max_payload_bytes) {
        return "the payload has " + std::to_string(job.payload.size()) + " bytes, at most " +
               std::to_string(max_payload_bytes) + " are allowed";
    }
    if (job.steps.empty()) {
        return "a job needs at least one step";
    }
    if (job.repeat_count > max_repeats) {
        return "a job may run at most " + std::to_string(max_repeats) + " times";
    }
    if (job.first_ms < 0 || job.first_ms > max_wall_ms || job.interval_ms < 0 ||
        job.interval_ms > max_duration_ms) {
        return "the first time or the interval is out of range";
    }
    if (job.steps.size() > max_steps) {
        return "a job may have at most " + std::to_string(max_steps) + " steps";
    }
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        const step_spec& step = job.steps[index];
        const std::string name = "step " + std::to_string(index);
        if (step.task_count == 0 || step.task_count > task_limit) {
            return name + " has " + std::to_string(step.task_count) + " tasks, expected 1 to " +
                   std::to_string(task_limit);
        }
        tasks += step.task_count;
        if (tasks > task_limit) {
            return "the steps up to " + std::to_string(index) + " have " + std::to_string(tasks) +
                   " tasks, at most " + std::to_string(task_limit) + " are allowed in a job";
        }
        if (step.need.cpu_milli < 0 || step.need.memory_mb < 0 || step.need.gpus < 0) {
            return name + " asks for a negative amount of a resource";
        }
        for (const std::uint32_t earlier : step.depends_on) {
            if (earlier >= index) {
                return name + " depends on step " + std::to_string(earlier) + ", which is not an earlier one";
            }
        }
    }
    return {};
}

}  // namespace waxwingnotch
