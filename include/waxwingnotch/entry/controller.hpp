/// @file
/// The duties of a node towards the hosts: it watches them, and it proposes moves and drains
/// for the pools that it is the owner of. The owner of the duty `wave` also proposes what the
/// maintenance wave needs. The fold decides, so two owners or none for a while do no harm.
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

/// What a controller works with.
struct controller_parts {
    event_loop& loop;
    http_client& client;
    fleet_view& view;
    log_appender& appender;
    std::function<bool(std::string_view duty)> owns;  // is this node the owner of the duty?
    std::function<bool()> proposes;                   // may this node propose now?
    std::string hosts_address;                        // platform's host API
    upstream_table& upstreams;                        // what requests and workers' answers showed
};

/// Watches and proposes.
class controller {
public:
    static constexpr std::int64_t interval_ms = 1'000;
    static constexpr std::uint32_t down_after_probes = 3;  // unanswered, in a row
    static constexpr std::int64_t probe_timeout_ms = 1'500;
    static constexpr std::int64_t reboot_timeout_ms = 5'000;

    explicit controller(controller_parts parts);
    void start();

private:
    /// What the last probes of a host said.
    struct probe_state {
        std::uint32_t unanswered = 0;
        bool under_way = false;
        std::int64_t called_at = 0;  // start of the last probe, wall clock ms
        probe_observation sight;
    };

    void step();
    void start_probes(const std::set<std::string>& own_pools);
    bool looks_wrong(const std::string& host, const host_state& machine) const;
    void probe(const std::string& host, const host_state& machine);
    void take_probe(const std::string& host, const http_answer& answer);
    void report(const std::string& host, host_condition condition, const std::string& evidence);
    void plan(const std::set<std::string>& own_pools);
    void plan_maintenance();
    void maintain(const std::string& host, const host_state& machine);
    void call_reboot(const std::string& host, const host_state& machine, const std::string& reason);
    void propose(const host_record& item);

    controller_parts parts_;
    timer tick_;
    std::map<std::string, probe_state> probes_;
    std::set<std::string> proposed_;   // hosts with a proposal under way
    std::set<std::string> rebooting_;  // hosts with a call to the platform under way
    bool wave_proposed_ = false;       // a change of the wave is under way
    std::set<std::string> reporting_;  // hosts with a condition report under way
};

}  // namespace waxwingnotch
