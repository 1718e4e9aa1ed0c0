/// Records of jobs and their progress. They are arrays, which are shorter than maps. A new field goes to the
/// end, and readers must use its default where it is missing.
#include "waxwingnotch/base/cbor_reader.hpp"
#include "waxwingnotch/job/progress.hpp"
#include "waxwingnotch/job/route.hpp"
#include "waxwingnotch/job/spec.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace waxwingnotch {

namespace {

using nlohmann::json;

std::string to_bytes(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json step_to_json(const step_spec& step)
{
    const unsigned flags = (step.checkpointing ? 1U : 0U) | (step.gang ? 2U : 0U) |
                           (step.same_rack ? 4U : 0U) | (step.speculative ? 8U : 0U) |
                           (step.long_running ? 16U : 0U) | (step.uses_spare_cpu ? 32U : 0U);
    const int max_unavailable = step.max_unavailable ? static_cast<int>(*step.max_unavailable) : -1;
    return json::array({step.task_count, step.need.cpu_milli, step.need.memory_mb, step.need.gpus,
                        step.estimate_ms, step.depends_on, step.max_per_worker, step.required_label,
                        step.data_rack, step.image, step.latency_target_ms, max_unavailable, flags});
}

step_spec step_from_json(const json& row)
{
    step_spec step;
    step.task_count = row.at(0).get<std::uint32_t>();
    step.need = {row.at(1).get<std::int64_t>(), row.at(2).get<std::int64_t>(), row.at(3).get<std::int64_t>()};
    step.estimate_ms = row.at(4).get<std::int64_t>();
    step.depends_on = row.at(5).get<std::vector<std::uint32_t>>();
    step.max_per_worker = row.at(6).get<std::uint32_t>();
    step.required_label = row.at(7).get<std::string>();
    step.data_rack = row.at(8).get<std::string>();
    step.image = row.at(9).get<std::string>();
    step.latency_target_ms = row.at(10).get<std::int64_t>();
    const int max_unavailable = row.at(11).get<int>();
    if (max_unavailable >= 0) {
        step.max_unavailable = static_cast<std::uint32_t>(max_unavailable);
    }
    const auto flags = row.at(12).get<unsigned>();
    step.checkpointing = (flags & 1U) != 0;
    step.gang = (flags & 2U) != 0;
    step.same_rack = (flags & 4U) != 0;
    step.speculative = (flags & 8U) != 0;
    step.long_running = (flags & 16U) != 0;
    step.uses_spare_cpu = (flags & 32U) != 0;
    return step;
}

json task_to_json(const task_progress& task)
{
    if (task == task_progress{}) {
        return 0;  // most tasks of a waiting job
    }
    if (task.phase == task_phase::done) {
        return json::array({task.last_run, task.failures});
    }
    json runs = json::array();
    for (const active_run& run : task.runs) {
        json& entry = runs.emplace_back(json::array({run.number, run.worker.id, run.worker.started_ms}));
        if (run.crash_counted || run.listed) {
            entry.push_back(run.crash_counted);
        }
        if (run.listed) {
            entry.push_back(true);
        }
    }
    json row =
        json::array({task.last_run, task.failures, static_cast<int>(task.phase), runs, task.checkpoint});
    // Earlier versions read the crashes wherever a sixth field is there.
    if (task.crashes != crash_history{} || !task.given_up.empty()) {
        json& crashes =
            row.emplace_back(json::array({task.crashes.shared, task.crashes.alone, task.crashes.likely}));
        if (task.crashes.unconfirmed > 0) {
            crashes.push_back(task.crashes.unconfirmed);
        }
    }
    if (!task.given_up.empty()) {
        json& distances = row.emplace_back(json::array());  // shorter than the numbers
        for (const std::uint32_t run : task.given_up) {
            distances.push_back(task.last_run - run);
        }
    }
    return row;
}

task_progress task_from_json(const json& row)
{
    task_progress task;
    if (!row.is_array()) {
        return task;
    }
    task.last_run = row.at(0).get<std::uint32_t>();
    task.failures = row.at(1).get<std::uint32_t>();
    if (row.size() == 2) {
        task.phase = task_phase::done;
        return task;
    }
    const int phase = row.at(2).get<int>();
    if (phase < 0 || phase > static_cast<int>(task_phase::failed)) {
        throw json::other_error::create(500, "unknown phase " + std::to_string(phase), &row);
    }
    task.phase = static_cast<task_phase>(phase);
    for (const json& run : row.at(3)) {
        const auto number = run.at(0).get<std::uint32_t>();
        if (std::any_of(task.runs.begin(), task.runs.end(),
                        [number](const active_run& other) { return other.number == number; })) {
            throw json::other_error::create(500, "run " + std::to_string(number) + " stands there twice",
                                            &row);
        }
        task.runs.push_back({number,
                             {run.at(1).get<std::string>(), run.at(2).get<std::int64_t>()},
                             run.size() > 3 && run.at(3).get<bool>(),
                             run.size() > 4 && run.at(4).get<bool>()});
    }
    task.checkpoint = row.at(4).get<std::string>();
    if (row.size() > 5) {
        const json& crashes = row.at(5);
        task.crashes = {crashes.at(0).get<std::uint32_t>(), crashes.at(1).get<std::uint32_t>(),
                        crashes.at(2).get<bool>(),
                        crashes.size() > 3 ? crashes.at(3).get<std::uint32_t>() : 0U};
    }
    if (row.size() > 6) {
        for (const json& distance : row.at(6)) {
            const auto runs_before_last = distance.get<std::uint32_t>();
            if (runs_before_last >= task.last_run) {
                throw json::other_error::create(500, "a given-up run has no number", &row);
            }
            task.given_up.push_back(task.last_run - runs_before_last);
        }
    }
    return task;
}

constexpr double stretch_units = 1'000;  // records hold no fractions
constexpr double max_stretch = 1e9;

json terms_to_json(const queue_terms& terms)
{
    const auto stretch =
        static_cast<std::int64_t>(std::llround(std::clamp(terms.stretch, 0.0, max_stretch) * stretch_units));
    json row = json::array({terms.target_ms, stretch, terms.priority});
    if (terms.needs_advice) {
        row.push_back(terms.advice_valid_ms);
        row.push_back(terms.advice_call_ms);
        row.push_back(terms.advice_worker_ms);
    }
    return row;
}

queue_terms terms_from_json(const json& row)
{
    queue_terms terms;
    terms.target_ms = row.at(0).get<std::int64_t>();
    terms.stretch = static_cast<double>(row.at(1).get<std::int64_t>()) / stretch_units;
    terms.priority = row.at(2).get<int>();
    terms.needs_advice = row.size() > 3;
    if (terms.needs_advice) {
        terms.advice_valid_ms = row.at(3).get<std::int64_t>();
        terms.advice_call_ms = row.at(4).get<std::int64_t>();
        terms.advice_worker_ms = row.at(5).get<std::int64_t>();
    }
    return terms;
}

}  // namespace

std::string encode_job(const job_spec& job)
{
    json steps = json::array();
    for (const step_spec& step : job.steps) {
        steps.push_back(step_to_json(step));
    }
    json row = json::array({job.id, job.queue, job.service, job.payload, steps, job.repeat_count,
                            job.first_ms, job.interval_ms, job.accepted_ms, job.max_attempts});
    if (job.has_home || job.shard >= 0 || job.handed_over || job.terms) {
        row.push_back(job.shard);
    }
    if (!job.handed_over && job.terms) {
        row.push_back(nullptr);
    }
    if (job.handed_over) {
        json progress = json::array();
        for (const auto& [occurrence, bytes] : job.progress) {
            progress.push_back(json::array({occurrence, bytes}));
        }
        row.push_back(std::move(progress));
    }
    if (job.terms) {
        row.push_back(terms_to_json(*job.terms));
    }
    return to_bytes(row);
}

result<job_spec> decode_job(std::string_view bytes)
{
    try {
        const json row = parse_bounded_cbor(bytes);
        job_spec job;
        job.id = row.at(0).get<std::string>();
        job.queue = row.at(1).get<std::string>();
        job.service = row.at(2).get<std::string>();
        job.payload = row.at(3).get<std::string>();
        for (const json& step : row.at(4)) {
            job.steps.push_back(step_from_json(step));
        }
        job.repeat_count = row.at(5).get<std::uint32_t>();
        job.first_ms = row.at(6).get<std::int64_t>();
        job.interval_ms = row.at(7).get<std::int64_t>();
        job.accepted_ms = row.at(8).get<std::int64_t>();
        job.max_attempts = row.at(9).get<std::uint32_t>();
        job.has_home = row.size() > 10;
        job.shard = job.has_home ? row.at(10).get<int>() : -1;
        job.handed_over = row.size() > 11 && !row.at(11).is_null();
        if (job.handed_over) {
            for (const json& entry : row.at(11)) {
                job.progress[entry.at(0).get<std::uint32_t>()] = entry.at(1).get<std::string>();
            }
        }
        if (row.size() > 12) {
            job.terms = terms_from_json(row.at(12));
        }
        if (!is_job_id(job.id)) {
            return fail(error_code::malformed, "job record: the id is not a job id");
        }
        if (const std::string problem = validate(job, max_stored_tasks); !problem.empty()) {
            return fail(error_code::malformed, "job record: " + problem);
        }
        return job;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, std::string("job record: ") + problem.what());
    }
}

std::string encode_progress(const occurrence_progress& progress)
{
    return encode_progress(progress, 0, std::numeric_limits<std::size_t>::max());
}

std::string encode_progress(const occurrence_progress& progress, std::size_t first, std::size_t end)
{
    json steps = json::array();
    std::size_t number = 0;  // of the first task of the step
    for (const std::vector<task_progress>& tasks : progress.steps) {
        if (number >= end) {
            break;
        }
        json rows = json::array();
        const std::size_t last = std::min(tasks.size(), end - number);
        for (std::size_t index = first > number ? first - number : 0; index < last; ++index) {
            rows.push_back(task_to_json(tasks[index]));
        }
        steps.push_back(std::move(rows));
        number += tasks.size();
    }
    return to_bytes(steps);
}

result<occurrence_progress> decode_progress(std::string_view bytes)
{
    try {
        const json steps = parse_bounded_cbor(bytes);
        occurrence_progress progress;
        for (const json& rows : steps) {
            std::vector<task_progress>& tasks = progress.steps.emplace_back();
            for (const json& row : rows) {
                tasks.push_back(task_from_json(row));
            }
        }
        return progress;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, std::string("progress record: ") + problem.what());
    }
}

std::string encode_route(const job_route& route)
{
    json row = json::array({route.shard, route.service, route.queue, route.max_attempts, route.forwarded,
                            route.cancel_forwarded});
    if (route.handed_over) {
        row.push_back(true);
    }
    return to_bytes(row);
}

result<job_route> decode_route(std::string_view bytes)
{
    try {
        const json row = parse_bounded_cbor(bytes);
        return job_route{.shard = row.at(0).get<int>(),
                         .service = row.at(1).get<std::string>(),
                         .queue = row.at(2).get<std::string>(),
                         .max_attempts = row.at(3).get<std::uint32_t>(),
                         .forwarded = row.at(4).get<bool>(),
                         .cancel_forwarded = row.at(5).get<bool>(),
                         .handed_over = row.size() > 6 && row.at(6).get<bool>()};
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, std::string("route record: ") + problem.what());
    }
}

std::string to_string(const task_name& name)
{
    return name.job + "." + std::to_string(name.occurrence) + "." + std::to_string(name.step) + "." +
           std::to_string(name.index);
}

result<task_name> parse_task_name(std::string_view text)
{
    task_name name;
    const std::size_t dot = text.find('.');
    name.job = std::string(text.substr(0, dot));
    std::string_view rest = dot == std::string_view::npos ? std::string_view() : text.substr(dot + 1);
    for (std::uint32_t* part : {&name.occurrence, &name.step, &name.index}) {
        const auto [end, problem] = std::from_chars(rest.data(), rest.data() + rest.size(), *part);
        if (problem != std::errc{}) {
            return fail(error_code::malformed, "task name '" + std::string(text) + "'");
        }
        rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
        if (part != &name.index && rest.starts_with('.')) {
            rest.remove_prefix(1);
        }
    }
    if (!rest.empty() || name.job.empty()) {
        return fail(error_code::malformed, "task name '" + std::string(text) + "'");
    }
    return name;
}

}  // namespace waxwingnotch
