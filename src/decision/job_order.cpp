#include "waxwingnotch/decision/job_order.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t work_per_slack = 2;  // core-milliseconds of remaining work equivalent to 1 ms of slack

}  // namespace

objective_status objective_status_of(const waiting_job& job)
{
    if (job.long_running) {
        return objective_status::serving;
    }
    const std::int64_t earliest_end_ms = job.age_ms + job.remaining_ms;
    if (earliest_end_ms <= job.objective_ms) {
        return objective_status::on_time;
    }
    return earliest_end_ms <= late_limit_factor * job.objective_ms ? objective_status::late
                                                                   : objective_status::worthless;
}

std::tuple<int, int, std::int64_t> order_key(const waiting_job& job)
{
    const objective_status status = objective_status_of(job);
    const std::int64_t slack_ms = job.objective_ms - job.age_ms - job.remaining_ms;
    // Both ranks favour small jobs, so that as many jobs as possible are completed. A job's rank improves
    // with its age, so that large jobs do not starve.
    const std::int64_t rank = status == objective_status::on_time
                                  ? slack_ms + job.remaining_cpu_ms / work_per_slack
                                  : job.remaining_cpu_ms - job.age_ms;
    return {static_cast<int>(status), job.priority, rank};
}

}  // namespace waxwingnotch
