#include "waxwingnotch/decision/worker_health.hpp"

#include <algorithm>
#include <cmath>

namespace waxwingnotch {

namespace {

// If peers fail more often, the comparison says nothing about the worker.
constexpr double max_peer_failure_share = 0.5;

std::string number(double value)
{
    std::string text = std::to_string(value);
    return text.substr(0, text.find('.') + 3);
}

std::string failures_text(std::uint32_t failures, std::uint32_t tries, std::string_view service)
{
    return "failed " + std::to_string(failures) + " of " + std::to_string(tries) + " requests of service " +
           std::string(service);
}

}  // namespace

const char* to_string(health_action action)
{
    switch (action) {
    case health_action::none:
        return "none";
    case health_action::reconnect:
        return "fresh-connection";
    case health_action::eject:
        return "eject";
    case health_action::kept_by_budget:
        return "kept-by-budget";
    case health_action::restore:
        return "restore";
    }
    return "unnamed";
}

worker_health::worker& worker_health::find_or_add(const health_event& event)
{
    auto found = workers_.find(event.host);
    if (found == workers_.end()) {
        if (workers_.size() >= options_.max_workers) {
            workers_.erase(
                std::min_element(workers_.begin(), workers_.end(), [](const auto& left, const auto& right) {
                    return left.second.last_ms < right.second.last_ms;
                }));
        }
        found = workers_.emplace(event.host, worker{}).first;
    }
    worker& known = found->second;
    if (known.pool != event.pool) {
        known = worker{};  // a moved host is compared only with the peers of its new pool
        known.pool = event.pool;
    }
    known.last_ms = event.now_ms;
    return known;
}

worker_health::silence worker_health::classify_silence(worker& known, const health_event& event) const
{
    const bool remembered = known.silent && event.now_ms - known.silent_at_ms < options_.silence_memory_ms;
    const bool late_again = event.result == work_result::late &&
                            event.now_ms - known.silent_at_ms < options_.reconnect_interval_ms;
    if (remembered && (late_again || event.sent_at_ms <= known.silent_at_ms)) {
        return silence::same;
    }
    known.silent = true;
    known.silent_at_ms = event.now_ms;
    return remembered ? silence::repeated : silence::first;
}

void worker_health::add_to_window(const health_event& event, bool failed)
{
    auto found = windows_.find(event.service);
    if (found == windows_.end()) {
        if (windows_.size() >= options_.max_services) {
            return;
        }
        found = windows_.emplace(event.service, service_window{}).first;
    }
    service_window& recent = found->second;
    past_result& slot = recent.results[recent.written++ % window];
    slot.host = event.host;
    slot.at_ms = event.now_ms;
    slot.failed = failed;
}

void worker_health::retract_failure(std::string_view host, std::string_view service)
{
    const auto found = workers_.find(host);
    if (found == workers_.end()) {
        return;
    }
    const auto current = found->second.results.find(service);
    if (current == found->second.results.end() || current->second.failures == 0) {
        return;
    }
    current->second.score -= std::log(options_.faulty_failure_share / options_.healthy_failure_share);
    --current->second.failures;
    --current->second.tries;
    if (current->second.score <= 0) {
        current->second = service_results{};
    }
}

void worker_health::add_result(service_results& current, const health_event& event, bool failed) const
{
    if (current.score <= 0) {
        current = service_results{};
        current.since_ms = event.now_ms;
    }
    ++current.tries;
    current.failures += failed ? 1 : 0;
    current.score +=
        failed ? std::log(options_.faulty_failure_share / options_.healthy_failure_share)
               : std::log((1 - options_.faulty_failure_share) / (1 - options_.healthy_failure_share));
    if (current.score <= 0) {
        current = service_results{};
    }
}

worker_health::comparison worker_health::compare(const service_results& current,
                                                 const health_event& event) const
{
    comparison result;
    const auto found = windows_.find(event.service);
    if (found == windows_.end()) {
        return result;
    }
    std::map<std::string_view, std::pair<double, double>> peers;  // failures and tries by host
    for (std::size_t index = 0; index < std::min(found->second.written, window); ++index) {
        const past_result& past = found->second.results[index];
        if (past.host != event.host && past.at_ms >= current.since_ms) {
            peers[past.host].first += past.failed ? 1 : 0;
            peers[past.host].second += 1;
        }
    }
    result.peers = peers.size();
    if (peers.size() < options_.min_peers) {
        return result;
    }
    std::vector<double> shares;
    shares.reserve(peers.size());
    for (const auto& [host, counts] : peers) {
        shares.push_back((counts.first + options_.healthy_failure_share) / (counts.second + 1));
    }
    std::nth_element(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2),
                     shares.end());
    result.peers_share = std::max(options_.healthy_failure_share, shares[shares.size() / 2]);
    if (result.peers_share <= max_peer_failure_share) {
        result.evidence = current.failures * std::log(options_.faulty_failure_share / result.peers_share) +
                          (current.tries - current.failures) *
                              std::log((1 - options_.faulty_failure_share) / (1 - result.peers_share));
    }
    return result;
}

std::uint32_t worker_health::count_reduced(std::string_view pool, const worker* except) const
{
    return static_cast<std::uint32_t>(std::count_if(workers_.begin(), workers_.end(), [&](const auto& item) {
        return &item.second != except && item.second.pool == pool && (item.second.out || item.second.suspect);
    }));
}

health_verdict worker_health::evaluate(worker& known, service_results& current, const health_event& event)
{
    known.suspect = false;
    if (current.score < options_.suspect_threshold) {
        return {};
    }
    const double threshold = known.out ? options_.suspect_threshold : options_.eject_threshold;
    const comparison against = compare(current, event);
    const bool peers_fail_too =
        against.peers >= options_.min_peers && against.peers_share > max_peer_failure_share;
    if (peers_fail_too) {
        current = service_results{};  // the service fails on its peers too
        return {};
    }
    const bool faulty = current.score >= threshold && against.evidence >= threshold;
    const std::uint32_t others = count_reduced(event.pool, &known);
    if (!known.out && others >= event.max_out) {
        return faulty ? keep_in_service(current, against, others, event) : health_verdict{};
    }
    if (faulty) {
        return eject(known, current, against, event);
    }
    known.suspect = !known.out;
    return {};
}

health_verdict worker_health::keep_in_service(service_results& current, const comparison& against,
                                              std::uint32_t others, const health_event& event)
{
    health_verdict verdict;
    verdict.action = health_action::kept_by_budget;
    verdict.reason = failures_text(current.failures, current.tries, event.service) +
                     "; peers' failure share " + number(against.peers_share) + "; " + std::to_string(others) +
                     " of " + std::to_string(event.max_out) + " hosts that may be out are out or suspect";
    current = service_results{};
    return verdict;
}

health_verdict worker_health::eject(worker& known, const service_results& current, const comparison& against,
                                    const health_event& event) const
{
    const bool repeated =
        known.out || (known.ejections > 0 && event.now_ms - known.restored_at_ms < options_.longest_eject_ms);
    known.ejections = repeated ? std::min(known.ejections + 1, 16U) : 1;
    health_verdict verdict;
    verdict.action = health_action::eject;
    verdict.pause_ms = std::min(options_.eject_ms << (known.ejections - 1), options_.longest_eject_ms);
    verdict.reason = failures_text(current.failures, current.tries, event.service) +
                     "; median failure share of " + std::to_string(against.peers) + " peers " +
                     number(against.peers_share) + "; log likelihood ratio " + number(against.evidence) +
                     "; ejection " + std::to_string(known.ejections) + " in a row; " +
                     std::to_string(event.max_out) + " hosts may be out";
    known.out = true;
    known.suspect = false;
    known.out_until_ms = event.now_ms + verdict.pause_ms;
    known.successes = 0;
    known.results.clear();
    return verdict;
}

health_verdict worker_health::record_success(worker& known, const health_event& event) const
{
    if (!known.out || ++known.successes < options_.probation_successes) {
        return {};
    }
    known.out = false;
    known.restored_at_ms = event.now_ms;
    return {health_action::restore, 0,
            std::to_string(known.successes) + " successes on probation after ejection " +
                std::to_string(known.ejections) + " in a row"};
}

health_verdict worker_health::observe(const health_event& event)
{
    worker& known = find_or_add(event);
    if (known.out && event.now_ms < known.out_until_ms) {
        return {};  // sent before the ejection
    }
    if (event.result == work_result::silent || event.result == work_result::late) {
        const silence kind = classify_silence(known, event);
        if (kind == silence::same) {
            return {};
        }
        if (kind == silence::first || event.result == work_result::late) {
            return {health_action::reconnect, 0,
                    event.result == work_result::late ? "a request got no answer while others did"
                                                      : "a request got no answer"};
        }
    }
    const bool failed = event.result != work_result::succeeded;
    add_to_window(event, failed);
    if (failed && !event.previous_host.empty()) {
        retract_failure(event.previous_host, event.service);  // the request fails on other workers too
        return {};
    }
    service_results& current = known.results[std::string(event.service)];
    add_result(current, event, failed);
    health_verdict verdict = failed ? evaluate(known, current, event) : record_success(known, event);
    if (!failed && current.score < options_.suspect_threshold) {
        known.suspect = false;
    }
    const auto updated = known.results.find(event.service);
    if (updated != known.results.end() && updated->second.score <= 0) {
        known.results.erase(updated);
    }
    return verdict;
}

worker_mode worker_health::mode(std::string_view host, std::int64_t now_ms) const
{
    const auto found = workers_.find(host);
    if (found == workers_.end()) {
        return worker_mode::full;
    }
    if (found->second.out) {
        return now_ms < found->second.out_until_ms ? worker_mode::ejected : worker_mode::probation;
    }
    return found->second.suspect ? worker_mode::suspect : worker_mode::full;
}

std::uint32_t worker_health::work_limit(std::string_view host, std::uint32_t slots, std::int64_t now_ms) const
{
    switch (mode(host, now_ms)) {
    case worker_mode::full:
        return slots;
    case worker_mode::suspect:
        return now_ms - workers_.find(host)->second.last_ms < options_.suspect_pause_ms ? 0
                                                                                        : std::min(slots, 1U);
    case worker_mode::ejected:
        return 0;
    case worker_mode::probation:
        return std::min(slots, 1U);
    }
    return slots;
}

void worker_health::forget(std::string_view host)
{
    const auto found = workers_.find(host);
    if (found != workers_.end()) {
        workers_.erase(found);
    }
}

}  // namespace waxwingnotch
