/// Maintenance waves: empties hosts, orders their maintenance and reports the state of each wave.
#include "documents.hpp"
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace waxwingnotch {

namespace {

constexpr std::int64_t step_ms = 250;     // between looks at the hosts while a wave is open
constexpr std::int64_t close_ms = 1'500;  // a worker takes no new work for so long after each question
constexpr std::int64_t question_ms = 400;
constexpr std::int64_t order_margin_ms = 500;  // a wave should end this long before its time
constexpr std::int64_t move_pause_ms = 4'000;  // a host is not moved again so soon
constexpr std::int64_t pools_log_ms = 1'000;
constexpr std::int64_t patience_ms = 2'500;  // how long a host may take to run empty while time allows

}  // namespace

/// How far the maintenance of one host has come.
struct host_keeper::host_work {
    bool ordered = false;    // an order has left; it may be carried out without an answer
    bool confirmed = false;  // the host service has answered that it is done or under way
    bool gone = false;       // not in the list any more, or not part of the wave
    bool asking = false;
    std::int64_t closing_since_ms = 0;
    std::int64_t confirmed_ms = 0;
};

/// What the owner of a pool says of its demand.
struct host_keeper::pool_load {
    bool known = false;
    std::int64_t waiting_cpu_ms = 0;
    std::int64_t running_cpu_milli = 0;
    std::int64_t running_memory_mb = 0;
    std::set<std::string> busy;  // workers on which something runs
};

/// Hosts and demand at one moment.
struct host_keeper::survey {
    host_list list;
    std::map<std::string, pool_load> loads;  // by pool
    std::size_t open = 0;                    // questions without an answer
};

/// What the owner of a shard says of a worker that it has closed.
/// @return nothing if no owner answered; of an answer that cannot be read, what forbids to take the worker
/// away
static std::optional<drain_state> read_drain(const owner_reply& answer)
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

bool host_keeper::wave_due(std::int64_t number) const
{
    const auto found = written_.find(number);
    return found == written_.end() || !found->second;
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

/// Hosts that a wave is about to take, or has taken a moment ago.
std::set<std::string> host_keeper::leaving_hosts() const
{
    const std::int64_t now = monotonic_ms();
    std::set<std::string> hosts;
    for (const auto& [key, work] : work_) {
        const bool done = work->gone || (work->confirmed &&
                                         now - work->confirmed_ms > node_.settings.maintenance_ms + step_ms);
        if (!done && (work->closing_since_ms != 0 || work->ordered)) {
            hosts.insert(key.second);
        }
    }
    return hosts;
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

void host_keeper::work_wave(const maintenance_wave& wave, const host_list& list)
{
    if (!written_.contains(wave.number)) {
        write_status(wave.number, false);
    }
    const std::int64_t now = monotonic_ms();
    const std::int64_t left_ms =
        node_.wave_seen_ms[wave.number] + static_cast<std::int64_t>(wave.finish_by_s * 1'000) - now;
    std::map<std::string, const host_row*> rows;
    for (const host_row& row : list.hosts) {
        rows[row.name] = &row;
    }
    std::size_t down = 0;
    std::size_t open = 0;
    for (const std::string& name : wave.hosts) {
        auto& slot = work_[{wave.number, name}];
        slot = slot ? std::move(slot) : std::make_unique<host_work>();
        host_work& work = *slot;
        const auto row = rows.find(name);
        if (row == rows.end()) {
            work.gone = true;
        }
        if (work.gone) {
            continue;
        }
        const host_state state = row->second->state;
        // An order without an answer may be carried out at any moment, so it counts as under way.
        const bool just_ordered = work.confirmed && now - work.confirmed_ms < node_.settings.maintenance_ms;
        down += state == host_state::maintenance || (work.ordered && !work.confirmed) || just_ordered ? 1 : 0;
        open += work.confirmed ? 0 : 1;
    }
    if (open == 0) {
        write_status(wave.number, true);
        return;
    }
    // Hosts whose orders are in doubt first: asking again settles them.
    for (const std::string& name : wave.hosts) {
        host_work& work = *work_[{wave.number, name}];
        if (work.ordered && !work.confirmed && !work.gone && !work.asking) {
            order(name, wave.number);
        }
    }
    std::size_t closing = 0;
    for (const std::string& name : wave.hosts) {
        const host_work& work = *work_[{wave.number, name}];
        closing += work.closing_since_ms != 0 && !work.ordered && !work.gone ? 1 : 0;
    }
    for (const std::string& name : by_disturbance(wave, rows)) {
        host_work& work = *work_[{wave.number, name}];
        const auto row = rows.find(name);
        if (work.ordered || work.gone || work.asking || row == rows.end() ||
            row->second->state != host_state::up) {
            continue;
        }
        const bool begun = work.closing_since_ms != 0;
        if (!begun && down + closing >= wave.max_down) {
            continue;
        }
        if (!begun) {
            work.closing_since_ms = now;
            ++closing;
        }
        if (down < wave.max_down) {
            prepare(*row->second, wave, left_ms);
        }
    }
}

/// Hosts of a wave, those on which nothing runs first: their maintenance disturbs nobody, and while it goes
/// on others become idle.
std::vector<std::string> host_keeper::by_disturbance(const maintenance_wave& wave,
                                                     const std::map<std::string, const host_row*>& rows) const
{
    std::vector<std::string> names = wave.hosts;
    std::stable_partition(names.begin(), names.end(), [&](const std::string& name) {
        const auto row = rows.find(name);
        return row != rows.end() && !busy_workers_.contains(row->second->worker_id);
    });
    return names;
}

/// Asks the owner of the host's pool to empty it, and orders the maintenance once it is empty.
void host_keeper::prepare(const host_row& host, const maintenance_wave& wave, std::int64_t left_ms)
{
    host_work& work = *work_[{wave.number, host.name}];
    if (host.worker_id.empty()) {
        order(host.name, wave.number);
        return;
    }
    work.asking = true;
    const service_config* pool = node_.config->service(host.pool);
    const bool standby = pool != nullptr && pool->standby;
    close_worker(host.pool, host.worker_id,
                 [this, name = host.name, number = wave.number, left_ms, standby,
                  max_down = wave.max_down](const std::optional<drain_state>& state) {
                     host_work& item = *work_[{number, name}];
                     item.asking = false;
                     const std::int64_t now = monotonic_ms();
                     if (!state && !standby) {
                         return;  // the owner changes; ask again at the next step
                     }
                     const bool empty = standby || state->empty();
                     // Ends that are not stored would be lost with the worker's life.
                     const bool serving = state && (state->serving || state->unstored);
                     const bool tired =
                         now - item.closing_since_ms > patience_ms || left_ms < order_margin_ms;
                     if (!empty && (serving || !tired)) {
                         return;
                     }
                     // Others may have been ordered while this answer was on its way.
                     const auto down = std::count_if(work_.begin(), work_.end(), [&](const auto& entry) {
                         const host_work& other = *entry.second;
                         return entry.first.first == number && other.ordered && !other.gone &&
                                (!other.confirmed ||
                                 now - other.confirmed_ms < node_.settings.maintenance_ms + step_ms);
                     });
                     if (down < static_cast<std::ptrdiff_t>(max_down)) {
                         order(name, number);
                     }
                 });
}

void host_keeper::order(const std::string& host, std::int64_t wave)
{
    host_work& work = *work_[{wave, host}];
    work.ordered = true;
    work.asking = true;
    node_.hosts->maintain(authority_, host, wave, [this, host, wave, alive = alive_](host_result outcome) {
        if (!*alive) {
            return;
        }
        host_work& item = *work_[{wave, host}];
        item.asking = false;
        log_event(
            log_level::info, "maintain",
            {{"host", host}, {"wave", wave}, {"token", authority_.token}, {"outcome", to_string(outcome)}});
        switch (outcome) {
        case host_result::ok:
            item.confirmed = true;
            item.confirmed_ms = monotonic_ms();
            return;
        case host_result::fenced:
            refused_ = true;  // orders with this token would only take turns with the newer holder
            return;
        case host_result::not_due:
        case host_result::invalid:
            item.gone = true;
            return;
        case host_result::busy:
        case host_result::refused:
            item.ordered = false;
            return;
        case host_result::no_answer:
            return;  // stays in doubt; the next step asks again
        }
    });
}

void host_keeper::write_status(std::int64_t wave, bool completed)
{
    written_.try_emplace(wave, false);
    append_request request{.topic = adapter::status_topic,
                           .partition = 0,
                           .writer = {},
                           .epoch = 0,
                           .sequence = 0,
                           .records = {{.key = adapter::wave_prefix + std::to_string(wave),
                                        .value = adapter::encode_wave_status(completed),
                                        .offset = -1}}};
    node_.store->append(request, [this, wave, completed, alive = alive_](const append_result& answer) {
        if (!*alive) {
            return;
        }
        if (answer.status != store_status::ok) {
            if (!completed) {
                written_.erase(wave);  // the next step writes it again
            }
            return;
        }
        written_[wave] = written_[wave] || completed;
        log_event(log_level::info, "wave", {{"wave", wave}, {"state", completed ? "completed" : "running"}});
    });
}

}  // namespace waxwingnotch
