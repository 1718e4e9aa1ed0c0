/// Maintenance waves: drains hosts, orders their maintenance and writes the state of each wave.
#include "documents.hpp"
#include "node/host_parts.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

bool host_manager::wave_unfinished(std::int64_t number) const
{
    const auto found = wave_status_.find(number);
    return found == wave_status_.end() || !found->second;
}

/// Hosts that drain for a wave, or whose maintenance was ordered and may not be over.
std::set<std::string> host_manager::leaving_hosts() const
{
    const std::int64_t now = monotonic_ms();
    std::set<std::string> hosts;
    for (const auto& [key, work] : maintenance_) {
        const bool done =
            work->excluded ||
            (work->confirmed && now - work->confirmed_ms > node_.settings.maintenance_ms + poll_interval_ms);
        if (!done && (work->draining_since_ms != 0 || work->ordered)) {
            hosts.insert(key.second);
        }
    }
    return hosts;
}

void host_manager::advance_wave(const maintenance_wave& wave, turn_kind kind)
{
    if (!wave_status_.contains(wave.number)) {
        write_status(wave.number, false);
    }
    const std::int64_t now = monotonic_ms();
    const std::int64_t remaining_ms =
        node_.wave_seen_ms[wave.number] + static_cast<std::int64_t>(wave.finish_by_s * 1'000) - now;
    std::map<std::string, const host_row*> rows;
    for (const host_row& row : latest_.hosts) {
        rows[row.name] = &row;
    }
    std::size_t down = 0;
    std::size_t open = 0;
    bool may_be_back = false;  // a host that the list shows under maintenance
    for (const std::string& name : wave.hosts) {
        auto& slot = maintenance_[{wave.number, name}];
        slot = slot ? std::move(slot) : std::make_unique<host_maintenance>();
        host_maintenance& work = *slot;
        const auto row = rows.find(name);
        // An earlier list does not show a host that is new, which the wave may be for.
        work.excluded = work.excluded || (row == rows.end() && kind == turn_kind::new_list);
        if (work.excluded) {
            continue;
        }
        if (row == rows.end()) {
            ++open;
            need_list();
            continue;
        }
        const host_row_state state = row->second->state;
        // An unanswered order may be carried out at any moment, so its host counts as down.
        const bool just_ordered = work.confirmed && now - work.confirmed_ms < node_.settings.maintenance_ms;
        may_be_back =
            may_be_back || (state == host_row_state::maintenance && work.confirmed && !just_ordered);
        down +=
            state == host_row_state::maintenance || (work.ordered && !work.confirmed) || just_ordered ? 1 : 0;
        open += work.confirmed ? 0 : 1;
    }
    if (open == 0) {
        write_status(wave.number, true);
        return;
    }
    if (kind == turn_kind::latest_list && may_be_back && down >= wave.max_down) {
        need_list();
    }
    resend_orders(wave, rows, remaining_ms, kind);
    std::size_t draining = 0;
    for (const std::string& name : wave.hosts) {
        const host_maintenance& work = *maintenance_[{wave.number, name}];
        draining += work.draining_since_ms != 0 && !work.ordered && !work.excluded ? 1 : 0;
    }
    for (const std::string& name : idle_hosts_first(wave, rows)) {
        host_maintenance& work = *maintenance_[{wave.number, name}];
        const auto row = rows.find(name);
        if (work.ordered || work.excluded || work.request_in_flight || row == rows.end() ||
            row->second->state != host_row_state::up) {
            continue;
        }
        const bool begun = work.draining_since_ms != 0;
        if (!begun && down + draining >= wave.max_down) {
            continue;
        }
        if (!begun) {
            work.draining_since_ms = now;
            ++draining;
        }
        if (down < wave.max_down) {
            drain_host(*row->second, wave, remaining_ms, kind);
        }
    }
}

/// Orders with an unknown outcome are sent again; the answer resolves them.
void host_manager::resend_orders(const maintenance_wave& wave,
                                 const std::map<std::string, const host_row*>& rows,
                                 std::int64_t remaining_ms, turn_kind kind)
{
    for (const std::string& name : wave.hosts) {
        const host_maintenance& work = *maintenance_[{wave.number, name}];
        const auto found = rows.find(name);
        if (!work.ordered || work.confirmed || work.excluded || work.request_in_flight ||
            found == rows.end()) {
            continue;
        }
        const host_row& row = *found->second;
        // The worker may have got runs meanwhile from an owner that did not know of the order.
        if (row.state == host_row_state::up && row.worker_id == work.worker_id) {
            drain_host(row, wave, remaining_ms, kind);
        }
        else if (kind == turn_kind::new_list) {
            order_maintenance(row, wave.number);
        }
        else {
            need_list();
        }
    }
}

/// Hosts of a wave, idle ones first: their maintenance interrupts no run, and others may become idle
/// meanwhile.
std::vector<std::string>
host_manager::idle_hosts_first(const maintenance_wave& wave,
                               const std::map<std::string, const host_row*>& rows) const
{
    std::vector<std::string> names = wave.hosts;
    std::stable_partition(names.begin(), names.end(), [&](const std::string& name) {
        const auto row = rows.find(name);
        return row != rows.end() && !busy_workers_.contains(row->second->worker_id);
    });
    return names;
}

/// Requests a drain of the host's worker, and orders the maintenance once nothing on it can be lost.
void host_manager::drain_host(const host_row& host, const maintenance_wave& wave, std::int64_t remaining_ms,
                              turn_kind kind)
{
    const auto order = [this, host, wave, kind] {
        if (kind == turn_kind::new_list || latest_list_allows_order(host)) {
            order_if_room(host, wave);
            return;
        }
        need_list();
    };
    host_maintenance& work = *maintenance_[{wave.number, host.name}];
    const service_config* pool = node_.config->service(host.pool);
    const bool never_used = pool == nullptr && node_.shard_of(host.pool) == service_shards::no_shard;
    if (host.worker_id.empty() || never_used || (pool != nullptr && pool->standby)) {
        order();
        return;
    }
    work.request_in_flight = true;
    const leftover_runs leftover = choose_leftover(monotonic_ms() - work.draining_since_ms, remaining_ms);
    request_drain(host.pool, host.worker_id, drain_request_ms, leftover,
                  [this, host, wave, order](const std::optional<drain_state>& state) {
                      maintenance_[{wave.number, host.name}]->request_in_flight = false;
                      // Without an answer there is no owner at the moment; the next poll asks again.
                      if (state && may_take_host(*state)) {
                          order();
                      }
                  });
}

/// Orders the maintenance unless too many other hosts of the wave are down. Orders may have been sent since
/// the host list was read.
void host_manager::order_if_room(const host_row& host, const maintenance_wave& wave)
{
    const std::int64_t now = monotonic_ms();
    const auto down = std::count_if(maintenance_.begin(), maintenance_.end(), [&](const auto& entry) {
        const host_maintenance& other = *entry.second;
        return entry.first.first == wave.number && entry.first.second != host.name && other.ordered &&
               !other.excluded &&
               (!other.confirmed ||
                now - other.confirmed_ms < node_.settings.maintenance_ms + poll_interval_ms);
    });
    if (down < static_cast<std::ptrdiff_t>(wave.max_down)) {
        order_maintenance(host, wave.number);
    }
}

void host_manager::order_maintenance(const host_row& row, std::int64_t wave)
{
    const std::string host = row.name;
    host_maintenance& work = *maintenance_[{wave, host}];
    work.ordered = true;
    work.worker_id = row.worker_id;
    work.request_in_flight = true;
    node_.hosts->maintain(
        authority_, host, wave, [this, row, host, wave, alive = alive_](host_result outcome) {
            if (!*alive) {
                return;
            }
            host_maintenance& item = *maintenance_[{wave, host}];
            item.request_in_flight = false;
            log_event(log_level::info, "maintain",
                      {{"host", host},
                       {"wave", wave},
                       {"token", authority_.fencing_token},
                       {"outcome", to_string(outcome)}});
            switch (outcome) {
            case host_result::ok:
                item.confirmed = true;
                item.confirmed_ms = monotonic_ms();
                note_ordered(host, host_row_state::maintenance);
                return;
            case host_result::fenced:
                fenced_ = true;  // further orders would only alternate with those of the newer holder
                return;
            case host_result::not_in_wave:
            case host_result::invalid:
                item.excluded = true;
                return;
            case host_result::busy:
            case host_result::refused:
                item.ordered = false;
                return;
            case host_result::no_answer:
                keep_closed(row.pool, row.worker_id);
                return;  // outcome unknown; the next poll sends the order again
            }
        });
}

void host_manager::write_status(std::int64_t wave, bool completed)
{
    wave_status_.try_emplace(wave, false);
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
                wave_status_.erase(wave);  // the next poll writes it again
            }
            return;
        }
        wave_status_[wave] = wave_status_[wave] || completed;
        log_event(log_level::info, "wave", {{"wave", wave}, {"state", completed ? "completed" : "running"}});
    });
}

}  // namespace waxwingnotch
