#include "waxwingnotch/store/store_routes.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

// Weights of the newest answer in the moving average. The average rises quickly, so that a store that has
// become slow gets few calls twice.
constexpr double slower_weight = 0.5;
constexpr double faster_weight = 0.1;

}  // namespace

void store_routes::set_peers(std::vector<std::string> peers)
{
    peers_ = std::move(peers);
    std::erase_if(avoid_until_ms_, [&](const auto& entry) {
        return std::find(peers_.begin(), peers_.end(), entry.first) == peers_.end();
    });
}

bool store_routes::peer_usable(const std::string& peer, std::int64_t now_ms) const
{
    const auto found = avoid_until_ms_.find(peer);
    return found == avoid_until_ms_.end() || now_ms >= found->second;
}

store_route store_routes::next(std::span<const store_route> tried, std::int64_t now_ms) const
{
    const auto untried = [&](const std::string& route) {
        return std::find(tried.begin(), tried.end(), route) == tried.end();
    };
    store_route direct;
    if (untried(direct) && (direct_usable(now_ms) || peers_.empty())) {
        return direct;
    }
    const bool preferred_known = std::find(peers_.begin(), peers_.end(), preferred_peer_) != peers_.end();
    if (preferred_known && untried(preferred_peer_) && peer_usable(preferred_peer_, now_ms)) {
        return preferred_peer_;
    }
    const auto usable = std::find_if(peers_.begin(), peers_.end(), [&](const std::string& peer) {
        return untried(peer) && peer_usable(peer, now_ms);
    });
    if (usable != peers_.end()) {
        return *usable;
    }
    if (untried(direct)) {
        return direct;
    }
    const auto avoided = std::find_if(peers_.begin(), peers_.end(), untried);
    return avoided != peers_.end() ? *avoided : peers_.empty() ? direct : peers_.front();
}

bool store_routes::take_probe(std::int64_t now_ms)
{
    if (direct_usable(now_ms) || now_ms - last_probe_ms_ < options_.probe_interval_ms) {
        return false;
    }
    last_probe_ms_ = now_ms;
    return true;
}

std::int64_t store_routes::resend_after_ms() const
{
    return std::max(options_.min_resend_ms,
                    static_cast<std::int64_t>(mean_answer_ms_ * options_.resend_factor));
}

void store_routes::on_answer(const store_route& route, std::int64_t answer_ms)
{
    const double difference_ms = static_cast<double>(answer_ms) - mean_answer_ms_;
    mean_answer_ms_ += difference_ms * (difference_ms > 0 ? slower_weight : faster_weight);
    if (route.empty()) {
        avoid_direct_until_ms_ = 0;
        return;
    }
    preferred_peer_ = route;
    avoid_until_ms_.erase(route);
}

void store_routes::on_failure(const store_route& route, std::int64_t now_ms)
{
    if (route.empty()) {
        avoid_direct_until_ms_ = now_ms + options_.direct_avoid_ms;
        return;
    }
    avoid_until_ms_[route] = now_ms + options_.peer_avoid_ms;
}

}  // namespace waxwingnotch
