/// Polls hosts and demand, and moves hosts between pools.
#include "node/host_parts.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/json_fields.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>

namespace waxwingnotch {

namespace {

constexpr std::int64_t owner_timeout_ms = 400;
// The owner may ask the worker, for up to 400 ms, or the store before it answers.
constexpr std::int64_t drain_timeout_ms = 900;
constexpr std::int64_t move_cooldown_ms = 4'000;  // minimum time between two attempts to move a host
constexpr std::int64_t pool_log_interval_ms = 1'000;
constexpr std::int64_t ms_per_s = 1'000;
// Drains last 1.5 s without a further turn, so a list that takes long must not delay one until then.
constexpr std::int64_t max_turn_gap_ms = 1'000;
constexpr std::int64_t max_turns_planned = 4;  // whose moves may be ordered at once: those of a second
constexpr double move_share = 0.75;  // of the orders that the host service takes; the rest is for maintenance

/// Decodes the answer to a drain request. Values that cannot be read default to a worker that is in use, so
/// that it is not taken away.
drain_state decode_drain_state(const nlohmann::json& body)
{
    return drain_state{.known = bool_or(body, "known"),
                       .runs =
                           static_cast<std::size_t>(std::max<std::int64_t>(integer_or(body, "runs", 1), 0)),
                       .serving = bool_or(body, "serving", true),
                       .unstored = bool_or(body, "unstored", true),
                       .stopping_ms = std::max<std::int64_t>(integer_or(body, "stopping_ms", 0), 0)};
}

/// Decodes the answer to a question for the load of a service.
template <class Load>
void decode_load(const nlohmann::json& body, Load& load)
{
    const auto amount = [&](const char* name) {
        return std::max<std::int64_t>(integer_or(body, name), 0);
    };
    load.known = true;
    load.waiting_cpu_ms = amount("waiting_cpu_ms");
    load.running_cpu_milli = amount("running_cpu_milli");
    load.running_memory_mb = amount("running_memory_mb");
    load.min_workers = static_cast<std::uint32_t>(
        std::min<std::int64_t>(amount("min_workers"), std::numeric_limits<std::uint32_t>::max()));
    const std::vector<std::string> busy = string_list(body, "busy");
    load.busy = {busy.begin(), busy.end()};
}

}  // namespace

const char* to_string(host_result outcome)
{
    switch (outcome) {
    case host_result::ok:
        return "ok";
    case host_result::fenced:
        return "a higher token is known";
    case host_result::busy:
        return "the host is busy";
    case host_result::not_in_wave:
        return "the host is not part of the wave";
    case host_result::invalid:
        return "invalid";
    case host_result::refused:
        return "refused";
    case host_result::no_answer:
        return "no answer";
    }
    return "unnamed";
}

host_manager::host_manager(node_state& node, std::int64_t token)
    : node_(node), authority_{node.settings.name, token},
      first_order_ms_(monotonic_ms() + node.settings.takeover_pause_ms)
{
    log_event(log_level::info, "host_duty", {{"state", "acquired"}, {"token", token}});
    timer_ = node_.loop.every(poll_interval_ms, [this] { poll(); });
}

host_manager::~host_manager()
{
    *alive_ = false;
    log_event(log_level::info, "host_duty", {{"state", "released"}, {"token", authority_.fencing_token}});
}

void host_manager::poll()
{
    const std::int64_t now = monotonic_ms();
    if (fenced_ || !node_.hosts || !node_.config || now < first_order_ms_) {
        return;
    }
    if (list_in_flight_) {
        if (now - last_turn_ms_ >= max_turn_gap_ms) {
            take_turn(turn_kind::latest_list);
        }
        return;
    }
    if (!request_list(order_waits_ ? list_need::order : list_need::refresh)) {
        take_turn(turn_kind::latest_list);
    }
}

/// @return whether the link has room for the list
bool host_manager::request_list(list_need need)
{
    list_in_flight_ = true;
    const bool requested =
        node_.lists.request(need, [this, sent_ms = monotonic_ms(), alive = alive_](const host_listing& list) {
            if (*alive) {
                list_in_flight_ = false;
                on_list(list, sent_ms);
            }
        });
    list_in_flight_ = requested;
    return requested;
}

void host_manager::on_list(const host_listing& list, std::int64_t sent_ms)
{
    latest_ = list;
    latest_ms_ = monotonic_ms();
    if (!list.ok) {
        return;
    }
    order_waits_ = false;
    host_workers_.clear();
    for (host_row& row : latest_.hosts) {
        const auto ordered = ordered_.find(row.name);
        if (ordered != ordered_.end() && ordered->second.answered_ms >= sent_ms) {
            row.state =
                ordered->second.state;  // the list may have been made before the order was carried out
        }
        host_workers_[row.name] = row.worker_id;
    }
    take_turn(turn_kind::new_list);
}

/// Advances the waves, and asks for the demand of the pools.
void host_manager::take_turn(turn_kind kind)
{
    if (!latest_.ok) {
        return;
    }
    last_turn_ms_ = monotonic_ms();
    for (const auto& [number, wave] : node_.waves) {
        if (wave_unfinished(number)) {
            advance_wave(wave, kind);
        }
    }
    auto survey = std::make_shared<host_survey>();
    survey->kind = kind;
    survey->list = latest_;
    query_loads(survey);
}

/// Requests a list as soon as the link has room for it, as an order waits.
void host_manager::need_list()
{
    order_waits_ = true;
    if (!list_in_flight_) {
        request_list(list_need::order);
    }
}

/// Whether the latest list is so new that @p host may get an order by it, and shows it with the same worker.
bool host_manager::latest_list_allows_order(const host_row& host) const
{
    if (!latest_.ok || monotonic_ms() - latest_ms_ > drain_timeout_ms) {
        return false;
    }
    return std::any_of(latest_.hosts.begin(), latest_.hosts.end(), [&host](const host_row& row) {
        return row.name == host.name && row.state == host_row_state::up && row.worker_id == host.worker_id;
    });
}

/// Corrects the latest list by an order that was carried out.
void host_manager::note_ordered(const std::string& host, host_row_state state)
{
    ordered_[host] = {.state = state, .answered_ms = monotonic_ms()};
    for (host_row& row : latest_.hosts) {
        if (row.name == host) {
            row.state = state;
        }
    }
}

void host_manager::query_loads(const std::shared_ptr<host_survey>& survey)
{
    const auto asked = [this](const service_config& pool) {
        return !pool.standby && node_.shard_of(pool.name) != service_shards::no_shard;
    };
    for (const service_config& pool : node_.config->services) {
        survey->loads[pool.name].known = pool.standby;
        survey->open += asked(pool) ? 1 : 0;
    }
    for (const service_config& pool : node_.config->services) {
        if (!asked(pool)) {
            continue;
        }
        query_owner(node_, "GET", node_.shard_of(pool.name), "/shard/load?service=" + pool.name,
                    owner_timeout_ms,
                    [this, survey, name = pool.name, alive = alive_](const owner_reply& answer) {
                        if (!*alive) {
                            return;
                        }
                        const auto document = read_json(answer.body);
                        if (answer.answered && answer.status == 200 && document) {
                            std::int64_t& newest = newest_epochs_[node_.shard_of(name)];
                            newest = std::max(newest, integer_or(document.value(), "epoch"));
                            decode_load(document.value(), survey->loads[name]);
                        }
                        if (--survey->open == 0) {
                            balance(*survey);
                        }
                    });
    }
}

/// Whether a move of the host was attempted within the cooldown.
bool host_manager::recently_moved(const std::string& host) const
{
    const auto attempt = move_attempt_ms_.find(host);
    return attempt != move_attempt_ms_.end() && monotonic_ms() - attempt->second < move_cooldown_ms;
}

void host_manager::balance(const host_survey& survey)
{
    const std::int64_t now = monotonic_ms();
    busy_workers_.clear();
    for (const auto& [name, load] : survey.loads) {
        busy_workers_.insert(load.busy.begin(), load.busy.end());
    }
    std::vector<balance_pool> pools;
    for (const service_config& service : node_.config->services) {
        const auto found = survey.loads.find(service.name);
        if (found == survey.loads.end() || !found->second.known) {
            continue;  // its demand is unknown, or the service was added after the survey began
        }
        const pool_load& load = found->second;
        pools.push_back({.name = service.name,
                         .standby = service.standby,
                         .running_cpu_milli = load.running_cpu_milli,
                         .running_memory_mb = load.running_memory_mb,
                         .waiting_cpu_ms = load.waiting_cpu_ms,
                         .min_hosts = load.min_workers});
    }
    const std::set<std::string> leaving = leaving_hosts();
    std::vector<balance_host> hosts;
    for (const host_row& row : survey.list.hosts) {
        const auto pool = std::find_if(pools.begin(), pools.end(),
                                       [&](const balance_pool& item) { return item.name == row.pool; });
        const auto moving = move_target_.find(row.name);
        if (row.state != host_row_state::up) {
            const std::string target = row.state == host_row_state::moving && moving != move_target_.end()
                                           ? moving->second
                                           : row.pool;
            for (balance_pool& item : pools) {
                item.arriving += item.name == target && row.state != host_row_state::down ? 1 : 0;
            }
            continue;
        }
        if (pool == pools.end() || leaving.contains(row.name)) {
            continue;  // a host that drains for maintenance takes no work and thus adds no capacity
        }
        const bool busy = survey.loads.at(row.pool).busy.contains(row.worker_id);
        hosts.push_back({row.name, row.pool, row.capacity, !busy, !recently_moved(row.name)});
    }
    set_reserves(survey, pools, hosts);
    for (balance_pool& pool : pools) {
        const auto host_count = std::count_if(
            hosts.begin(), hosts.end(), [&](const balance_host& host) { return host.pool == pool.name; });
        const resources host = hosts.empty() ? resources{} : hosts.front().capacity;
        std::int64_t& since = surplus_since_ms_[pool.name];
        const bool surplus = host_count > static_cast<std::ptrdiff_t>(hosts_kept(pool, host, policy_));
        since = !surplus ? 0 : since == 0 ? now : since;
        pool.surplus_ms = since == 0 ? 0 : now - since;
    }
    log_pools(pools, hosts);
    plan_moves(survey.kind, pools, hosts);
}

void host_manager::plan_moves(turn_kind kind, const std::vector<balance_pool>& pools,
                              const std::vector<balance_host>& hosts)
{
    // Turns in between order nothing, so the next new list may be followed by their moves, too.
    const std::int64_t planned_ms = std::min(++turns_without_moves_, max_turns_planned) * poll_interval_ms;
    policy_.max_moves =
        std::max(1U, static_cast<std::uint32_t>(move_share * node_.settings.host_orders_per_s * planned_ms /
                                                ms_per_s));
    const std::vector<pool_move> moves = balance_pools(pools, hosts, policy_);
    if (kind == turn_kind::new_list) {
        turns_without_moves_ = 0;
        for (const pool_move& planned : moves) {
            try_move(planned);
        }
        return;
    }
    // A surplus can wait for the next regular list, a pool that is short cannot.
    if (std::any_of(moves.begin(), moves.end(),
                    [](const pool_move& planned) { return planned.wanted > planned.had; })) {
        need_list();
    }
}

/// Updates the reserves with the current demand, and sets them in @p pools.
void host_manager::set_reserves(const host_survey& survey, std::vector<balance_pool>& pools,
                                const std::vector<balance_host>& hosts)
{
    const std::int64_t now = monotonic_ms();
    const resources host = hosts.empty() ? resources{} : hosts.front().capacity;
    for (const balance_pool& pool : pools) {
        if (pool.standby) {
            continue;
        }
        const auto assigned = std::count_if(survey.list.hosts.begin(), survey.list.hosts.end(),
                                            [&](const host_row& row) { return row.pool == pool.name; });
        reserve_.assign(pool.name, static_cast<std::uint32_t>(assigned), now);
        // A backlog asks for more hosts than the burst itself, as it is to be worked off in a short time.
        balance_pool without_backlog = pool;
        without_backlog.waiting_cpu_ms = 0;
        reserve_.observe(pool.name, hosts_needed(without_backlog, host, policy_), now);
    }
    const std::map<std::string, std::uint32_t> kept = reserve_.hosts(now);
    for (balance_pool& pool : pools) {
        const auto found = kept.find(pool.name);
        pool.reserve = found == kept.end() ? 0 : found->second;
    }
}

/// Logs the input of the balancing for each pool, once a second.
void host_manager::log_pools(const std::vector<balance_pool>& pools, const std::vector<balance_host>& hosts)
{
    const std::int64_t now = monotonic_ms();
    if (now - last_pool_log_ms_ < pool_log_interval_ms) {
        return;
    }
    last_pool_log_ms_ = now;
    for (const balance_pool& pool : pools) {
        const auto in_pool = [&](const balance_host& host) {
            return host.pool == pool.name;
        };
        const auto host_count = std::count_if(hosts.begin(), hosts.end(), in_pool);
        const auto idle = std::count_if(hosts.begin(), hosts.end(), [&](const balance_host& host) {
            return in_pool(host) && host.idle && host.movable;
        });
        log_event(log_level::info, "pool",
                  {{"pool", pool.name},
                   {"standby", pool.standby},
                   {"hosts", host_count},
                   {"idle", idle},
                   {"arriving", pool.arriving},
                   {"reserve", pool.reserve},
                   {"running_cpu_milli", pool.running_cpu_milli},
                   {"running_memory_mb", pool.running_memory_mb},
                   {"waiting_cpu_ms", pool.waiting_cpu_ms},
                   {"min_hosts", pool.min_hosts},
                   {"surplus_ms", pool.surplus_ms}});
    }
}

/// Requests a drain of the host's worker, and moves the host if the worker is empty. A host of the standby
/// pool or without a worker is moved at once.
void host_manager::try_move(const pool_move& planned)
{
    move_attempt_ms_[planned.host] = monotonic_ms();
    const service_config* from = node_.config->service(planned.from);
    const std::string worker = host_workers_[planned.host];
    if ((from != nullptr && from->standby) || worker.empty()) {
        order_move(planned);
        return;
    }
    request_drain(planned.from, worker, drain_request_ms, leftover_runs::keep,
                  [this, planned](const std::optional<drain_state>& state) {
                      if (state && state->empty()) {
                          order_move(planned);
                      }
                  });
}

/// Asks the owner of @p pool to place no new work on @p worker for @p for_ms, and to move
/// long-running tasks off it.
/// @param leftover what becomes of its short runs
/// @param done receives what is left on the worker; nothing if no owner answered that is known to be the
///        newest
void host_manager::request_drain(const std::string& pool, const std::string& worker, std::int64_t for_ms,
                                 leftover_runs leftover,
                                 std::function<void(const std::optional<drain_state>&)> done)
{
    const std::string path = "/shard/close?worker=" + worker + "&ms=" + std::to_string(for_ms) +
                             (leftover == leftover_runs::stop ? "&stop=1" : "");
    const int shard = node_.shard_of(pool);
    query_owner(node_, "POST", shard, path, drain_timeout_ms,
                [this, shard, done = std::move(done), alive = alive_](const owner_reply& answer) {
                    if (*alive) {
                        done(accept_drain_answer(shard, answer));
                    }
                });
}

/// @return nothing without an answer of the newest owner that has answered so far
std::optional<drain_state> host_manager::accept_drain_answer(int shard, const owner_reply& answer)
{
    if (!answer.answered || answer.status != 200) {
        return std::nullopt;
    }
    const auto document = read_json(answer.body);
    const nlohmann::json body = document ? document.value() : nlohmann::json();
    const std::int64_t epoch = integer_or(body, "epoch", 0);  // owners of earlier versions name none
    std::int64_t& newest = newest_epochs_[shard];
    newest = std::max(newest, epoch);
    if (epoch < newest) {
        return std::nullopt;
    }
    return decode_drain_state(body);
}

void host_manager::order_move(const pool_move& planned)
{
    move_target_[planned.host] = planned.to;
    node_.hosts->move(
        authority_, planned.host, planned.to,
        [this, planned, worker = host_workers_[planned.host], alive = alive_](host_result outcome) {
            if (!*alive) {
                return;
            }
            fenced_ = fenced_ || outcome == host_result::fenced;
            log_event(log_level::info, "move",
                      {{"host", planned.host},
                       {"from", planned.from},
                       {"to", planned.to},
                       {"wanted", planned.wanted},
                       {"had", planned.had},
                       {"token", authority_.fencing_token},
                       {"outcome", to_string(outcome)}});
            if (outcome == host_result::ok) {
                note_ordered(planned.host, host_row_state::moving);
            }
            if (outcome == host_result::no_answer) {
                keep_closed(planned.from, worker);
                order_waits_ = true;  // the list shows whether it was carried out
            }
        });
}

/// Keeps new work off a worker whose host has got an order that may be carried out late.
void host_manager::keep_closed(const std::string& pool, const std::string& worker)
{
    if (!worker.empty() && node_.shard_of(pool) != service_shards::no_shard) {
        request_drain(pool, worker, late_order_ms, leftover_runs::keep, [](const auto&) {});
    }
}

}  // namespace waxwingnotch
