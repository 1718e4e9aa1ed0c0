/// @file
/// Components of an entry node, shared by its life cycle (entry_node.cpp) and its HTTP API
/// (entry_http.cpp).
#pragma once

#include "entry/operator_api.hpp"

#include "waxwingnotch/entry/claim_desk.hpp"
#include "waxwingnotch/entry/controller.hpp"
#include "waxwingnotch/entry/dispatcher.hpp"
#include "waxwingnotch/entry/entry_node.hpp"
#include "waxwingnotch/entry/leaving_watch.hpp"
#include "waxwingnotch/platform/audit_keeper.hpp"
#include "waxwingnotch/platform/host_list.hpp"
#include "waxwingnotch/platform/log_follower.hpp"
#include "waxwingnotch/platform/log_keeper.hpp"
#include "waxwingnotch/platform/snapshot_loader.hpp"

namespace waxwingnotch {

/// A longer gap between two ticks counts as a pause of the process.
constexpr std::int64_t pause_threshold_ms = 1'000;

/// All components of a node, in order of construction.
struct entry_node::parts {
    explicit parts(settings initial);

    // Start and stop
    result<void> listen();
    void start();
    void begin_drain(const std::string& why);
    void check_drain();
    void tick();
    bool caught_up(std::int64_t now) const;

    // State from a snapshot or a peer
    void adopt_state(result<fleet_state> state, const char* source);
    void recover_from_gap(std::int64_t first_kept);

    // Queries of the components
    heartbeat make_heartbeat() const;
    node_status status() const;
    bool owns(std::string_view duty) const;
    keeper_callbacks make_keeper_callbacks();

    // HTTP
    void handle(const http_exchange_ptr& exchange);
    bool handle_operator(const http_exchange_ptr& exchange);
    void refresh_gauges();
    void handle_explain(const http_exchange_ptr& exchange, const std::string& rest);
    void handle_caller(const http_exchange_ptr& exchange);
    void handle_cancel(const http_exchange_ptr& exchange);

    settings options;
    std::int64_t incarnation;
    event_loop loop;
    metrics counters;
    http_client client;
    fleet_view view;
    log_appender appender;
    peer_mesh mesh;
    log_follower follower;
    snapshot_loader loader;
    log_keeper keeper;
    audit_keeper audit;
    host_list hosts;
    upstream_table upstreams;
    claim_coordinator claims;
    dispatcher requests;
    controller host_controller;
    leaving_monitor leaving;
    http_server server;

    node_phase phase = node_phase::catching_up;
    std::int64_t started_at = 0;      // monotonic ms
    std::int64_t catch_up_since = 0;  // monotonic ms; start of catching up: the log must have answered since
    std::int64_t last_tick = 0;       // monotonic ms
    std::int64_t snapshot_retry_at = 0;  // monotonic ms; no snapshot is requested before
    std::int64_t stop_at = 0;            // monotonic ms; drain limit
    std::int64_t close_at = 0;           // monotonic ms; when the listener closes
    int exit_code = 0;                   // of run()
    timer tick_timer;
    timer on_term;
    timer on_int;
};

}  // namespace waxwingnotch
