/// Maintenance waves: empties hosts, orders their maintenance and reports the state of each wave.
#include "documents.hpp"
#include "node/host_parts.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

namespace {

constexpr std::int64_t order_margin_ms = 500;  // a wave should end this long before its time
constexpr std::int64_t patience_ms = 2'500;    // how long a host may take to run empty while time allows

}  // namespace

bool host_keeper::wave_due(std::int64_t number) const
{
    const auto found = written_.find(number);
    return found == written_.end() || !found->second;
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
