#include "waxwingnotch/entry/entry_node.hpp"

#include "entry/entry_parts.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/net/address.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace waxwingnotch {

namespace {

constexpr std::int64_t tick_ms = 100;
constexpr std::int64_t peer_wait_ms = 1'500;     // wait for peers that do not answer
constexpr std::int64_t reload_ms = 2'000;        // between two searches for a snapshot
constexpr std::int64_t lonely_start_ms = 4'000;  // a start without log and peers waits this long
constexpr int exit_cannot_listen = 1;
constexpr int exit_requests_cut = 3;

/// Written under another name first, so that a reader never sees half of it.
bool write_ports(const std::string& file, std::uint16_t port, std::uint16_t peer_port)
{
    const std::string draft = file + ".new";
    std::ofstream(draft) << port << " " << peer_port << "\n";
    return std::rename(draft.c_str(), file.c_str()) == 0;
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

entry_node::parts::parts(settings given)
    : options(std::move(given)), incarnation(wall_ms()), client(loop),
      appender(loop, client,
               {options.log_address, options.node_id, incarnation,
                [this] {
                    return view.state().next_offset;
                }}),
      mesh(loop, {options.node_id, options.peers},
           {[this] { return self(); },
            [this](std::span<const log_entry> entries) {
                if (!view.take(entries)) {
                    mesh.request_records(view.state().next_offset);
                }
            },
            [this] { return encode_state(view.state()); },
            [this](const state_message& message) { take_state(decode_state(message.bytes), "peer"); },
            [this] { requests.begin_round(wall_ms()); },
            [this](const heartbeat& beat) {
                requests.hear(beat);
                leaving.hear(beat.leaving);
            },
            [this](const key_query_message& question, const std::function<void(key_answer_message)>& reply) {
                claims.answer_question(question, reply);
            }}),
      follower(loop, client, options.log_address,
               {[this] { return view.state().next_offset; },
                [this](std::span<const log_entry> entries) { view.take(entries); },
                [this](std::int64_t first_kept) {
                    recover(first_kept);
                }}),
      loader(client, options.log_address),
      keeper({options.node_id, incarnation, options.retention_ms}, keeper_view()),
      audit(client, options.log_address, {options.node_id, incarnation, options.retention_ms}, keeper_view()),
      hosts(loop, client, options.hosts_address,
            [this](const std::vector<listed_host>& list) { upstreams.take_list(list); }),
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
      duties({loop, client, view, appender, [this](std::string_view duty) { return owns(duty); },
              [this] { return phase == node_phase::serving && follower.reachable(); }, options.hosts_address,
              upstreams}),
      leaving(loop, client, view, upstreams), server(loop)
{
    view.on_applied([this](std::span<const log_entry> entries) {
        mesh.retain_records(entries);
        requests.pump();
    });
    view.on_verdict([this](const verdict& one) {
        log_event(one.accepted ? log_level::info : log_level::warning, "verdict",
                  {{"accepted", one.accepted},
                   {"what", one.kind},
                   {"subject", one.subject},
                   {"writer", one.writer},
                   {"seq", one.seq},
                   {"reason", one.reason}});
        appender.apply_verdict(one);
    });
    server.handle([this](const http_exchange_ptr& exchange) { handle(exchange); });
}

heartbeat entry_node::parts::self() const
{
    heartbeat beat;
    beat.node = options.node_id;
    beat.incarnation = incarnation;
    beat.data_centre = options.data_centre;
    beat.offset = view.state().next_offset;
    beat.log_end = follower.log_end();
    beat.serving = phase == node_phase::serving;
    beat.heard = mesh.members().heard_directly(monotonic_ms());
    beat.leaving = leaving.told();
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

keeper_callbacks entry_node::parts::keeper_view()
{
    return {
        [this]() -> const fleet_state& { return view.state(); },
        [this](std::string_view duty) { return owns(duty); },
        [this] { return phase == node_phase::serving && follower.reachable(); },
        [this](record item, proposal_handler done) { appender.propose(std::move(item), std::move(done)); },
        wall_ms};
}

result<void> entry_node::parts::listen()
{
    const endpoint callers = parse_endpoint(options.listen_address);
    const auto port = server.listen(callers.ip, callers.port);
    if (!port) {
        return port.error();
    }
    const auto peer_port = mesh.listen(options.peer_address);
    if (!peer_port) {
        return peer_port.error();
    }
    if (!options.port_file.empty() && !write_ports(options.port_file, port.value(), peer_port.value())) {
        return fail(error_code::io, "cannot write " + options.port_file);
    }
    log_event(log_level::info, "listening",
              {{"port", port.value()}, {"peer_port", peer_port.value()}, {"incarnation", incarnation}});
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
    duties.start();
    leaving.start();
    keeper.start(loop);
    audit.start(loop);
    ticker = loop.every(tick_ms, [this] { tick(); });
    on_term = loop.on_signal(SIGTERM, [this] { stop_soon("SIGTERM"); });
    on_int = loop.on_signal(SIGINT, [this] { stop_soon("SIGINT"); });
}

bool entry_node::parts::caught_up(std::int64_t now) const
{
    const std::int64_t have = view.state().next_offset;
    if (have < mesh.members().highest_offset(now) || view.state().inventory_document.version == 0 ||
        view.state().rules_document.version == 0) {
        return false;
    }
    // A peer that can be reached may know more than the log that this node can read.
    const bool peers_asked = mesh.members().heard_directly(now).size() >= options.peers.size() ||
                             now - catch_up_since > peer_wait_ms;
    if (!peers_asked) {
        return false;
    }
    const bool log_read = follower.reachable() && follower.last_answer_ms() > catch_up_since;
    if (log_read) {
        return have >= follower.log_end();
    }
    // Without the log, the peers' word counts; without either, what was accepted last stays in force.
    return now - catch_up_since > lonely_start_ms;
}

void entry_node::parts::take_state(result<fleet_state> state, const char* source)
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

/// Records that this node needs are gone: the newest snapshot or a peer has what they led to,
/// whichever answers first.
void entry_node::parts::recover(std::int64_t first_kept)
{
    const std::int64_t now = monotonic_ms();
    if (loader.busy() || now < reload_at) {
        return;
    }
    reload_at = now + reload_ms;
    log_event(log_level::error, "log-gone",
              {{"wanted", view.state().next_offset}, {"first_kept", first_kept}});
    mesh.request_records(view.state().next_offset);
    loader.load([this](result<fleet_state> state) { take_state(std::move(state), "snapshot"); });
}

void entry_node::parts::tick()
{
    const std::int64_t now = monotonic_ms();
    if (now - last_tick > pause_ms && phase != node_phase::draining) {
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
        watch_drain();
    }
    requests.pump();
}

void entry_node::parts::stop_soon(const std::string& why)
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

void entry_node::parts::watch_drain()
{
    const std::int64_t now = monotonic_ms();
    if (now < close_at) {
        // The balancer's check fails already; requests that it still sends are served.
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
