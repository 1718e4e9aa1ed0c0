#include "waxwingnotch/decision/submission_route.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr double mean_weight = 0.2;  // of the newest answer in the moving average

}  // namespace

std::int64_t submission_route::timeout_ms() const
{
    return std::clamp(static_cast<std::int64_t>(mean_answer_ms_ * options_.timeout_factor),
                      options_.min_timeout_ms, options_.max_timeout_ms);
}

void submission_route::on_answer(std::int64_t answer_ms)
{
    mean_answer_ms_ += mean_weight * (static_cast<double>(answer_ms) - mean_answer_ms_);
}

}  // namespace waxwingnotch
