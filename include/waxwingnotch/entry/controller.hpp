/// @file
/// Host management of an entry node: probes the hosts of the pools that the node owns and proposes
/// moves, drains and the steps of maintenance for them. The owner of the duty `wave` also proposes
/// the changes of the maintenance wave. The fold accepts or rejects each proposal, so temporarily
/// having two owners, or none, is safe.
#pragma once

#include "waxwingnotch/decision/wave.hpp"
#include "waxwingnotch/entry/fleet_view.hpp"
#include "waxwingnotch/entry/upstreams.hpp"
#include "waxwingnotch/net/http_client.hpp"
#include "waxwingnotch/platform/log_appender.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace waxwingnotch {

/// Dependencies of a controller.
struct controller_dependencies {
    event_loop& loop;
    http_client& client;
    fleet_view& view;
    log_appender& appender;
    std::function<bool(std::string_view duty)> owns_duty;  // whether this node owns the duty
    std::function<bool()> may_propose;                     // whether this node may propose now
    std::string hosts_address;                             // of the platform's host API
    upstream_table& upstreams;                             // run-time state of the hosts
};

/// Probes hosts and proposes changes, once per interval.
class controller {
public:
    static constexpr std::int64_t interval_ms = 1'000;
    static constexpr std::uint32_t down_after_probes = 3;  // consecutive probes without an answer
    static constexpr std::int64_t probe_timeout_ms = 1'500;
    static constexpr std::int64_t reboot_timeout_ms = 5'000;

    explicit controller(controller_dependencies dependencies);
    void start();

private:
    /// Results of the last probes of a host.
    struct probe_state {
        std::uint32_t unanswered = 0;
        bool in_flight = false;
        std::int64_t started_at = 0;  // start of the last probe, wall clock ms
        probe_observation observed;
    };

    void run_step();
    void start_probes(const std::set<std::string>& own_pools);
    bool needs_urgent_probe(const std::string& host, const host_state& machine) const;
    void probe(const std::string& host, const host_state& machine);
    void handle_probe_answer(const std::string& host, const http_answer& answer);
    void report(const std::string& host, host_condition condition, const std::string& evidence);
    void propose_pool_changes(const std::set<std::string>& own_pools);
    void propose_wave_changes();
    void advance_maintenance(const std::string& host, const host_state& machine);
    void request_reboot(const std::string& host, const host_state& machine, const std::string& reason);
    void propose(const host_record& item);

    controller_dependencies deps_;
    timer step_timer_;
    std::map<std::string, probe_state> probes_;
    std::set<std::string> pending_proposals_;  // hosts with an unsettled proposal
    std::set<std::string> pending_reboots_;    // hosts with a reboot call in flight
    bool wave_proposal_pending_ = false;       // a change of the wave is not settled yet
    std::set<std::string> pending_reports_;    // hosts with an unsettled condition report
};

}  // namespace waxwingnotch
