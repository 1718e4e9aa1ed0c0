#include "waxwingnotch/entry/entry_node.hpp"

#include "entry/entry_parts.hpp"

#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/base/build_info.hpp"
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace waxwingnotch {

namespace {

constexpr std::int64_t tick_ms = 100;
constexpr std::int64_t peer_timeout_ms = 1'500;       // longest wait for heartbeats of all peers
constexpr std::int64_t snapshot_retry_ms = 2'000;     // between two requests for a snapshot
constexpr std::int64_t start_without_log_ms = 4'000;  // wait of a node that cannot read the log
constexpr int exit_cannot_listen = 1;
constexpr int exit_requests_cut = 3;

/// Writes the ports to a temporary file and renames it, so that a reader never sees a partial file.
bool write_port_file(const std::string& file, std::uint16_t port, std::uint16_t peer_port)
{
    const std::string temporary_file = file + ".new";
    std::ofstream(temporary_file) << port << " " << peer_port << "\n";
    return std::rename(temporary_file.c_str(), file.c_str()) == 0;
}

}  // namespace

const char* to_string(node_phase phase)
{
    switch (phase) {
    case node_phase::catching_up:
        return "catching-up";
    case node_phase::serving:
        return "serving";
    case node_phase::draining:
        return "draining";
    }
    return "unnamed";
}

entry_node::parts::parts(settings initial)
    : options(std::move(initial)), incarnation(wall_ms()), client(loop, http_client::long_answer_bytes),
      appender(loop, client,
               {options.log_address, options.node_id, incarnation,
                [this] {
                    return view.state().next_offset;
                }}),
      mesh(loop, {options.node_id, options.peers},
           {[this] { return make_heartbeat(); },
            [this](std::span<const log_entry> entries) {
                if (!view.apply_entries(entries)) {
                    mesh.request_records(view.state().next_offset);
                }
            },
            [this] { return encode_state(view.state()); },
            [this](const state_message& message) { adopt_state(decode_state(message.bytes), "peer"); },
            [this] { requests.begin_quota_round(wall_ms()); },
            [this](const heartbeat& beat) {
                requests.receive_heartbeat(beat);
                leaving.receive(beat.leaving);
            },
            [this](const key_query_message& query, const std::function<void(key_answer_message)>& reply) {
                claims.answer_key_query(query, reply);
            }}),
      follower(loop, client, options.log_address,
               {[this] { return view.state().next_offset; },
                [this](std::span<const log_entry> entries) { view.apply_entries(entries); },
                [this](std::int64_t first_kept) {
                    recover_from_gap(first_kept);
                }}),
      loader(client, options.log_address),
      keeper({options.node_id, incarnation, options.retention_ms}, make_keeper_callbacks()),
      audit(client, options.log_address, {options.node_id, incarnation, options.retention_ms},
            make_keeper_callbacks()),
      hosts(loop, client, options.hosts_address,
            [this](const std::vector<listed_host>& list) { upstreams.apply_host_list(list); }),
      claims(loop, options.node_id, view, appender, mesh),
      requests({loop, client, view, upstreams, claims, counters,
                [this] {
                    const auto alive = mesh.members().alive_nodes(monotonic_ms()).size();
                    return static_cast<std::uint32_t>(alive);
                },
                [this] {
                    return mesh.members().alive_nodes(monotonic_ms());
                }},
               {options.node_id + "-" + std::to_string(incarnation), options.request_timeout_ms,
                options.max_in_flight, static_cast<std::uint64_t>(incarnation), options.node_id}),
      host_controller({loop, client, view, appender, [this](std::string_view duty) { return owns(duty); },
                       [this] { return phase == node_phase::serving && follower.reachable(); },
                       options.hosts_address, upstreams}),
      leaving(loop, client, view, upstreams), server(loop)
{
    view.on_applied([this](std::span<const log_entry> entries) {
        mesh.retain_records(entries);
        requests.pump();
    });
    view.on_verdict([this](const verdict& item) {
        log_event(item.accepted ? log_level::info : log_level::warning, "verdict",
                  {{"accepted", item.accepted},
                   {"what", item.kind},
                   {"subject", item.subject},
                   {"writer", item.writer},
                   {"seq", item.seq},
                   {"reason", item.reason}});
        appender.apply_verdict(item);
    });
    server.handle([this](const http_exchange_ptr& exchange) { handle(exchange); });
}

heartbeat entry_node::parts::make_heartbeat() const
{
    heartbeat beat;
    beat.node = options.node_id;
    beat.incarnation = incarnation;
    beat.data_centre = options.data_centre;
    beat.offset = view.state().next_offset;
    beat.log_end = follower.log_end();
    beat.serving = phase == node_phase::serving;
    beat.heard = mesh.members().heard_directly(monotonic_ms());
    beat.leaving = leaving.reported_hosts();
    beat.demand = requests.demand();
    return beat;
}

node_status entry_node::parts::status() const
{
    return {options.node_id,      incarnation,        options.data_centre, phase,
            follower.reachable(), follower.log_end(), requests.in_flight()};
}

bool entry_node::parts::owns(std::string_view duty) const
{
    return duty_owner(duty, mesh.members().alive_nodes(monotonic_ms())) == options.node_id;
}

keeper_callbacks entry_node::parts::make_keeper_callbacks()
{
    return {[this]() -> const fleet_state& { return view.state(); },
            [this](std::string_view duty) { return owns(duty); },
            [this] { return phase == node_phase::serving && follower.reachable(); },
            [this](record item, proposal_handler handler) {
                appender.propose(std::move(item), std::move(handler));
            },
            wall_ms};
}

result<void> entry_node::parts::listen()
{
    const std::optional<endpoint> callers = parse_endpoint(options.listen_address);
    if (!callers) {
        return fail(error_code::invalid_argument, "not a numeric address: " + options.listen_address);
    }
    const auto port = server.listen(callers->ip, callers->port);
    if (!port) {
        return port.error();
    }
    const auto peer_port = mesh.listen(options.peer_address);
    if (!peer_port) {
        return peer_port.error();
    }
    if (!options.port_file.empty() && !write_port_file(options.port_file, port.value(), peer_port.value())) {
        return fail(error_code::io, "cannot write " + options.port_file);
    }
    log_event(log_level::info, "listening",
              {{"port", port.value()},
               {"peer_port", peer_port.value()},
               {"incarnation", incarnation},
               {"sources", program_build().sources}});
    return boost::outcome_v2::success();
}

void entry_node::parts::start()
{
    started_at = monotonic_ms();
    catch_up_since = started_at;
    last_tick = started_at;
    mesh.start();
    follower.start();
    hosts.start();
    host_controller.start();
    leaving.start();
    keeper.start(loop);
    audit.start(loop);
    tick_timer = loop.every(tick_ms, [this] { tick(); });
    on_term = loop.on_signal(SIGTERM, [this] { begin_drain("SIGTERM"); });
    on_int = loop.on_signal(SIGINT, [this] { begin_drain("SIGINT"); });
}

bool entry_node::parts::caught_up(std::int64_t now) const
{
    const std::int64_t have = view.state().next_offset;
    if (have < mesh.members().highest_offset(now) || view.state().inventory_document.version == 0 ||
        view.state().rules_document.version == 0) {
        return false;
    }
    // A reachable peer may have applied more than this node can read from the log.
    const bool peers_checked = mesh.members().heard_directly(now).size() >= options.peers.size() ||
                               now - catch_up_since > peer_timeout_ms;
    if (!peers_checked) {
        return false;
    }
    const bool log_answered = follower.reachable() && follower.last_answer_ms() > catch_up_since;
    if (log_answered) {
        return have >= follower.log_end();
    }
    // Without the log, the highest offset of the peers decides, as checked above. Without either, the node
    // serves with the versions that it accepted last.
    return now - catch_up_since > start_without_log_ms;
}

void entry_node::parts::adopt_state(result<fleet_state> state, const char* source)
{
    if (!state) {
        log_event(log_level::error, "state-unusable",
                  {{"source", source}, {"reason", state.error().message}});
        return;
    }
    const std::int64_t before = view.state().next_offset;
    view.replace(std::move(state.value()));
    log_event(log_level::info, "state-taken",
              {{"source", source}, {"before", before}, {"offset", view.state().next_offset}});
}

/// Handles records that this node needs and the log no longer has: asks a peer for what is missing and
/// loads the newest snapshot. A state that arrives is adopted if its offset is higher.
void entry_node::parts::recover_from_gap(std::int64_t first_kept)
{
    const std::int64_t now = monotonic_ms();
    if (loader.busy() || now < snapshot_retry_at) {
        return;
    }
    snapshot_retry_at = now + snapshot_retry_ms;
    log_event(log_level::error, "log-gone",
              {{"wanted", view.state().next_offset}, {"first_kept", first_kept}});
    mesh.request_records(view.state().next_offset);
    loader.load([this](result<fleet_state> state) { adopt_state(std::move(state), "snapshot"); });
}

void entry_node::parts::tick()
{
    const std::int64_t now = monotonic_ms();
    if (now - last_tick > pause_threshold_ms && phase != node_phase::draining) {
        log_event(log_level::warning, "paused", {{"for_ms", now - last_tick}});
        phase = node_phase::catching_up;
        catch_up_since = now;
        mesh.request_records(view.state().next_offset);
    }
    last_tick = now;
    if (phase == node_phase::catching_up && caught_up(now)) {
        phase = node_phase::serving;
        log_event(log_level::info, "serving",
                  {{"offset", view.state().next_offset},
                   {"inventory", view.state().inventory_document.version},
                   {"rules", view.state().rules_document.version}});
    }
    if (phase == node_phase::draining) {
        check_drain();
    }
    requests.pump();
}

void entry_node::parts::begin_drain(const std::string& why)
{
    if (phase == node_phase::draining) {
        return;
    }
    phase = node_phase::draining;
    close_at = monotonic_ms() + options.drain_notice_ms;
    stop_at = close_at + options.drain_limit_ms;
    log_event(log_level::info, "draining",
              {{"reason", why}, {"in_flight", requests.in_flight()}, {"limit_ms", options.drain_limit_ms}});
}

void entry_node::parts::check_drain()
{
    const std::int64_t now = monotonic_ms();
    if (now < close_at) {
        // The health check already fails; requests that the balancer still sends are served.
        return;
    }
    server.stop_accepting();
    const bool idle = requests.in_flight() == 0 && server.open_exchanges() == 0 && !appender.busy();
    if (!idle && now < stop_at) {
        return;
    }
    for (const std::string& id : requests.open_requests()) {
        exit_code = exit_requests_cut;
        log_event(log_level::error, "cut", {{"request", id}, {"reason", "still open at the drain limit"}});
    }
    log_event(log_level::info, "stopped", {{"exit_code", exit_code}});
    loop.stop();
}

entry_node::entry_node(settings options) : parts_(std::make_unique<parts>(std::move(options))) {}

entry_node::~entry_node() = default;

int entry_node::run()
{
    const auto listening = parts_->listen();
    if (!listening) {
        log_event(log_level::error, "cannot-listen", {{"reason", listening.error().message}});
        return exit_cannot_listen;
    }
    parts_->start();
    parts_->loop.run();
    return parts_->exit_code;
}

}  // namespace waxwingnotch
