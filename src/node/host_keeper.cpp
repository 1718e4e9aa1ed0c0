/// The duty of the holder for all hosts: looks at hosts and demand, and moves hosts between pools.
#include "node/host_parts.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace waxwingnotch {

namespace {

constexpr std::int64_t close_ms = 1'500;  // a worker takes no new work for so long after each question
constexpr std::int64_t question_ms = 400;
constexpr std::int64_t move_pause_ms = 4'000;  // a host is not moved again so soon
constexpr std::int64_t pools_log_ms = 1'000;

/// What the owner of a shard says of a worker that it has closed.
/// @return nothing if no owner answered; of an answer that cannot be read, what forbids to take the worker
/// away
std::optional<drain_state> read_drain(const owner_reply& answer)
{
    if (!answer.answered || answer.status != 200) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return drain_state{.known = false, .runs = 1, .serving = true, .unstored = true};
    }
    return drain_state{.known = body.value("known", false),
                       .runs = body.value("runs", std::size_t{1}),
                       .serving = body.value("serving", true),
                       .unstored = body.value("unstored", true)};
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
    case host_result::not_due:
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

host_keeper::host_keeper(node_state& node, std::int64_t token)
    : node_(node), authority_{node.settings.name, token},
      begin_ms_(monotonic_ms() + node.settings.holder_pause_ms)
{
    log_event(log_level::info, "host_duty", {{"state", "taken"}, {"token", token}});
    timer_ = node_.loop.every(step_ms, [this] { step(); });
}

host_keeper::~host_keeper()
{
    *alive_ = false;
    log_event(log_level::info, "host_duty", {{"state", "given"}, {"token", authority_.token}});
}

void host_keeper::step()
{
    if (busy_ || refused_ || !node_.hosts || !node_.config || monotonic_ms() < begin_ms_) {
        return;
    }
    busy_ = true;
    node_.hosts->list([this, alive = alive_](const host_list& list) {
        if (!*alive) {
            return;
        }
        busy_ = false;
        if (list.ok) {
            on_list(list);
        }
    });
}

void host_keeper::on_list(const host_list& list)
{
    for (const auto& [number, wave] : node_.waves) {
        if (wave_due(number)) {
            work_wave(wave, list);
        }
    }
    host_workers_.clear();
    for (const host_row& row : list.hosts) {
        host_workers_[row.name] = row.worker_id;
    }
    auto look = std::make_shared<survey>();
    look->list = list;
    ask_loads(look);
}

void host_keeper::ask_loads(const std::shared_ptr<survey>& look)
{
    for (const service_config& pool : node_.config->services) {
        look->loads[pool.name].known = pool.standby;
        look->open += pool.standby ? 0 : 1;
    }
    for (const service_config& pool : node_.config->services) {
        if (pool.standby) {
            continue;
        }
        ask_owner(node_, "GET", node_.shard_of(pool.name), "/shard/load?service=" + pool.name, question_ms,
                  [this, look, name = pool.name, alive = alive_](const owner_reply& answer) {
                      if (!*alive) {
                          return;
                      }
                      const auto body = nlohmann::json::parse(answer.body, nullptr, false);
                      if (answer.answered && answer.status == 200 && body.is_object()) {
                          pool_load& load = look->loads[name];
                          load.known = true;
                          load.waiting_cpu_ms = body.value("waiting_cpu_ms", std::int64_t{0});
                          load.running_cpu_milli = body.value("running_cpu_milli", std::int64_t{0});
                          load.running_memory_mb = body.value("running_memory_mb", std::int64_t{0});
                          load.busy = body.value("busy", std::set<std::string>());
                      }
                      if (--look->open == 0) {
                          balance(*look);
                      }
                  });
    }
}

/// Whether the host has been told to move a moment ago.
bool host_keeper::moved_lately(const std::string& host) const
{
    const auto moving = moving_ms_.find(host);
    return moving != moving_ms_.end() && monotonic_ms() - moving->second < move_pause_ms;
}

void host_keeper::balance(const survey& look)
{
    const std::int64_t now = monotonic_ms();
    busy_workers_.clear();
    for (const auto& [name, load] : look.loads) {
        busy_workers_.insert(load.busy.begin(), load.busy.end());
    }
    std::vector<balance_pool> pools;
    for (const service_config& service : node_.config->services) {
        const pool_load& load = look.loads.at(service.name);
        if (!load.known) {
            continue;  // neither gives nor takes while its owner is unknown
        }
        pools.push_back({.name = service.name,
                         .standby = service.standby,
                         .running_cpu_milli = load.running_cpu_milli,
                         .running_memory_mb = load.running_memory_mb,
                         .waiting_cpu_ms = load.waiting_cpu_ms});
    }
    const std::set<std::string> leaving = leaving_hosts();
    std::vector<balance_host> hosts;
    for (const host_row& row : look.list.hosts) {
        const auto pool = std::find_if(pools.begin(), pools.end(),
                                       [&](const balance_pool& item) { return item.name == row.pool; });
        const auto moving = moving_to_.find(row.name);
        if (row.state != host_state::up) {
            const std::string target =
                row.state == host_state::moving && moving != moving_to_.end() ? moving->second : row.pool;
            for (balance_pool& item : pools) {
                item.arriving += item.name == target && row.state != host_state::down ? 1 : 0;
            }
            continue;
        }
        if (pool == pools.end() || leaving.contains(row.name)) {
            continue;  // a host that runs empty for its maintenance takes no work, so it is no capacity
        }
        const bool busy = look.loads.at(row.pool).busy.contains(row.worker_id);
        hosts.push_back({row.name, row.pool, row.capacity, !busy, !moved_lately(row.name)});
    }
    for (balance_pool& pool : pools) {
        const auto have = std::count_if(hosts.begin(), hosts.end(),
                                        [&](const balance_host& host) { return host.pool == pool.name; });
        const resources host = hosts.empty() ? resources{} : hosts.front().capacity;
        std::int64_t& since = surplus_since_ms_[pool.name];
        const bool surplus = have > static_cast<std::ptrdiff_t>(hosts_needed(pool, host, policy_));
        since = !surplus ? 0 : since == 0 ? now : since;
        pool.surplus_ms = since == 0 ? 0 : now - since;
    }
    log_pools(pools, hosts);
    for (const pool_move& planned : balance_pools(pools, hosts, policy_)) {
        try_move(planned);
    }
}

/// What the plan knows of each pool, once a second.
void host_keeper::log_pools(const std::vector<balance_pool>& pools, const std::vector<balance_host>& hosts)
{
    const std::int64_t now = monotonic_ms();
    if (now - last_pools_ms_ < pools_log_ms) {
        return;
    }
    last_pools_ms_ = now;
    for (const balance_pool& pool : pools) {
        const auto in_pool = [&](const balance_host& host) {
            return host.pool == pool.name;
        };
        const auto have = std::count_if(hosts.begin(), hosts.end(), in_pool);
        const auto idle = std::count_if(hosts.begin(), hosts.end(), [&](const balance_host& host) {
            return in_pool(host) && host.idle && host.movable;
        });
        log_event(log_level::info, "pool",
                  {{"pool", pool.name},
                   {"standby", pool.standby},
                   {"hosts", have},
                   {"idle", idle},
                   {"arriving", pool.arriving},
                   {"running_cpu_milli", pool.running_cpu_milli},
                   {"running_memory_mb", pool.running_memory_mb},
                   {"waiting_cpu_ms", pool.waiting_cpu_ms},
                   {"surplus_ms", pool.surplus_ms}});
    }
}

/// Closes the host's worker and moves the host if nothing runs there.
void host_keeper::try_move(const pool_move& planned)
{
    moving_ms_[planned.host] = monotonic_ms();
    const service_config* from = node_.config->service(planned.from);
    const std::string worker = host_workers_[planned.host];
    if ((from != nullptr && from->standby) || worker.empty()) {
        order_move(planned);
        return;
    }
    close_worker(planned.from, worker, [this, planned](const std::optional<drain_state>& state) {
        if (state && state->empty()) {
            order_move(planned);
        }
    });
}

/// Asks the owner of @p pool to start nothing more on @p worker for a while, and to empty it.
/// @param done hears what is left there; nothing if no owner answered
void host_keeper::close_worker(const std::string& pool, const std::string& worker,
                               std::function<void(const std::optional<drain_state>&)> done)
{
    const std::string path = "/shard/close?worker=" + worker + "&ms=" + std::to_string(close_ms);
    ask_owner(node_, "POST", node_.shard_of(pool), path, question_ms,
              [done = std::move(done), alive = alive_](const owner_reply& answer) {
                  if (*alive) {
                      done(read_drain(answer));
                  }
              });
}

void host_keeper::order_move(const pool_move& planned)
{
    moving_to_[planned.host] = planned.to;
    node_.hosts->move(authority_, planned.host, planned.to,
                      [this, planned, alive = alive_](host_result outcome) {
                          if (!*alive) {
                              return;
                          }
                          refused_ = refused_ || outcome == host_result::fenced;
                          log_event(log_level::info, "move",
                                    {{"host", planned.host},
                                     {"from", planned.from},
                                     {"to", planned.to},
                                     {"wanted", planned.wanted},
                                     {"had", planned.had},
                                     {"token", authority_.token},
                                     {"outcome", to_string(outcome)}});
                      });
}

}  // namespace waxwingnotch
