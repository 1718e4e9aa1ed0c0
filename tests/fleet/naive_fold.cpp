#include "fleet/naive_fold.hpp"

#include "fleet/audit_json.hpp"
#include "fleet/document_patch.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <algorithm>
#include <set>

namespace waxwingnotch {

std::optional<std::vector<bool>> naive_fold::apply(const log_entry& entry)
{
    log_time_ = std::max(log_time_, entry.appended_at);
    const auto decoded = decode(entry.bytes);
    if (!decoded) {
        return std::nullopt;
    }
    const batch& value = decoded.value();
    if (value.seen_offset > entry.offset || entry.offset - value.seen_offset > 100'000) {
        return std::nullopt;
    }
    for (const auto& [offset, earlier] : batches_) {
        if (earlier.writer == value.writer &&
            std::tie(value.incarnation, value.seq) <= std::tie(earlier.incarnation, earlier.seq)) {
            return std::nullopt;
        }
    }
    batches_.emplace_back(entry.offset, value);
    std::vector<bool> accepted;
    for (const record& item : value.records) {
        history_entry next{entry.offset, log_time_, value, item, {}, {}, {}};
        accepted.push_back(accept(next));
        if (accepted.back()) {
            history_.push_back(std::move(next));
        }
    }
    return accepted;
}

bool naive_fold::accept(history_entry& next) const
{
    const record item = next.item;
    return std::visit([&](const auto& typed) { return accepts(next, typed); }, item);
}

std::int64_t naive_fold::version(document kind) const
{
    return std::count_if(history_.begin(), history_.end(), [&](const history_entry& one) {
        const auto* item = std::get_if<publish_record>(&one.item);
        return item != nullptr && item->kind == kind;
    });
}

std::string naive_fold::content(document kind) const
{
    std::string last;
    for (const history_entry& one : history_) {
        const auto* item = std::get_if<publish_record>(&one.item);
        if (item != nullptr && item->kind == kind) {
            last = one.content;
        }
    }
    return last;
}

authority naive_fold::versions() const
{
    return {version(document::inventory), version(document::rules), ""};
}

void naive_fold::set_decision(history_entry& next, std::string what, std::string subject, std::string from,
                              std::string to, std::string reason, std::string by, authority basis) const
{
    next.decision = {next.offset,   next.time,         std::move(what), std::move(subject), std::move(from),
                     std::move(to), std::move(reason), std::move(by),   std::move(basis)};
}

std::vector<std::string> naive_fold::host_names() const
{
    std::set<std::string> names;
    for (const history_entry& one : history_) {
        for (const host& spec : one.machines.hosts) {
            names.insert(spec.name);
        }
    }
    return {names.begin(), names.end()};
}

std::optional<naive_host> naive_fold::find_host(const std::string& name) const
{
    std::optional<naive_host> machine;
    std::int64_t epoch_floor = 0;  // largest epoch of any removed host
    std::map<std::string, std::int64_t> epochs;
    for (const history_entry& one : history_) {
        if (const auto* item = std::get_if<publish_record>(&one.item)) {
            if (item->kind == document::rules) {
                continue;
            }
            const host* listed = nullptr;
            for (const host& spec : one.machines.hosts) {
                listed = spec.name == name ? &spec : listed;
                epochs.try_emplace(spec.name, epoch_floor + 1);
            }
            if (listed != nullptr && !machine) {
                machine = naive_host{listed->pool, epoch_floor + 1};
            }
            if (machine) {
                machine->removed = listed == nullptr;
            }
        }
        else if (const auto* step = std::get_if<host_record>(&one.item)) {
            const std::int64_t epoch = ++epochs[step->host];
            if (step->action == host_action::remove) {
                epoch_floor = std::max(epoch_floor, epoch);
                epochs.erase(step->host);
            }
            if (step->host != name) {
                continue;
            }
            if (step->action == host_action::remove) {
                machine.reset();
                continue;
            }
            machine->epoch = epoch;
            if (step->action == host_action::move) {
                machine->pool = step->to_pool;
            }
            else {
                machine->phase = step->action == host_action::drain     ? host_phase::draining
                                 : step->action == host_action::drained ? host_phase::drained
                                 : step->action == host_action::reboot  ? host_phase::rebooting
                                                                        : host_phase::serving;
            }
        }
        else if (const auto* report = std::get_if<condition_record>(&one.item)) {
            if (report->host == name) {
                machine->condition = report->condition;
            }
        }
    }
    return machine;
}

bool naive_fold::accepts(history_entry& next, const publish_record& item) const
{
    const std::int64_t now = version(item.kind);
    const auto patched =
        item.is_patch ? patch_document(content(item.kind), item.content) : result<std::string>(item.content);
    if (item.replaces != now || !patched || sha256_hex(patched.value()) != item.content_hash) {
        return false;
    }
    const bool machines = item.kind == document::inventory;
    auto inventory_now = inventory_from_json(machines ? patched.value() : content(document::inventory));
    auto rules_now = rules_from_json(machines ? content(document::rules) : patched.value());
    if (machines ? !inventory_now : !rules_now) {
        return false;
    }
    findings problems;
    if (machines || inventory_now) {
        check_consistency(inventory_now.value(), rules_now ? rules_now.value() : rules{}, problems);
    }
    if (problems.has_errors()) {
        return false;
    }
    if (machines) {
        for (const std::string& name : host_names()) {
            const auto machine = find_host(name);
            const auto& pools = inventory_now.value().pools;
            if (machine && std::none_of(pools.begin(), pools.end(),
                                        [&](const pool& one) { return one.name == machine->pool; })) {
                return false;
            }
        }
        next.machines = inventory_now.value();
    }
    next.content = patched.value();
    authority basis = versions();
    (machines ? basis.inventory_version : basis.rules_version) += 1;
    basis.author = item.author;
    set_decision(next, "publish", to_string(item.kind), std::to_string(now), std::to_string(now + 1),
                 item.note, item.author, basis);
    return true;
}

bool naive_fold::keeps_budget(const naive_host& candidate) const
{
    const auto is_available = [](const naive_host& machine) {
        return machine.phase == host_phase::serving && machine.condition == host_condition::up;
    };
    if (!is_available(candidate)) {
        return true;
    }
    std::int64_t remaining = -1;  // excludes the candidate itself
    for (const std::string& name : host_names()) {
        const auto machine = find_host(name);
        remaining += machine && machine->pool == candidate.pool && is_available(*machine) ? 1 : 0;
    }
    const auto rule_set = rules_from_json(content(document::rules));
    return !rule_set || std::all_of(rule_set.value().services.begin(), rule_set.value().services.end(),
                                    [&](const service_rule& service) {
                                        return service.pool != candidate.pool ||
                                               remaining >= service.min_hosts;
                                    });
}

bool naive_fold::accepts(history_entry& next, const host_record& item) const
{
    const auto machine = find_host(item.host);
    if (!machine || machine->epoch != item.epoch || machine->pool != item.pool) {
        return false;
    }
    const host_phase phase = machine->phase;
    std::string from = to_string(phase);
    std::string to = from;
    bool accepted = false;
    switch (item.action) {
    case host_action::move: {
        const auto pools = inventory_from_json(content(document::inventory)).value().pools;
        accepted = item.to_pool != machine->pool && keeps_budget(*machine) &&
                   std::any_of(pools.begin(), pools.end(),
                               [&](const pool& one) { return one.name == item.to_pool; });
        from = item.pool;
        to = item.to_pool;
        break;
    }
    case host_action::drain:
        accepted = phase == host_phase::serving && keeps_budget(*machine);
        to = "draining";
        break;
    case host_action::drained:
        accepted = phase == host_phase::draining;
        to = "drained";
        break;
    case host_action::reboot:
        accepted = phase == host_phase::drained;
        to = "rebooting";
        break;
    case host_action::restore:
        accepted = phase != host_phase::serving;
        to = "serving";
        break;
    case host_action::remove:
        accepted =
            machine->removed && (phase == host_phase::drained || machine->condition == host_condition::down);
    }
    set_decision(next, to_string(item.action), item.host, from, to, item.reason, next.author.writer,
                 item.basis);
    return accepted;
}

bool naive_fold::accepts(history_entry& next, const condition_record& item) const
{
    const auto machine = find_host(item.host);
    if (!machine || machine->condition == item.condition) {
        return false;
    }
    set_decision(next, "condition", item.host, to_string(machine->condition), to_string(item.condition),
                 item.evidence, next.author.writer, versions());
    return true;
}

wave_state naive_fold::wave() const
{
    wave_state now;
    for (const history_entry& one : history_) {
        if (const auto* item = std::get_if<wave_record>(&one.item)) {
            now.number = item->wave;
            now.open = item->action != wave_action::finish;
            now.paused = item->action == wave_action::pause;
        }
    }
    return now;
}

bool naive_fold::accepts(history_entry& next, const wave_record& item) const
{
    const wave_state now = wave();
    set_decision(next, std::string("wave-") + to_string(item.action), std::to_string(item.wave), "", "",
                 item.reason, next.author.writer, versions());
    switch (item.action) {
    case wave_action::start:
        return !now.open && item.wave == now.number + 1;
    case wave_action::pause:
        return now.open && item.wave == now.number && !now.paused;
    case wave_action::resume:
        return now.open && item.wave == now.number && now.paused;
    case wave_action::finish:
        return now.open && item.wave == now.number;
    }
    return false;
}

std::optional<claim_state> naive_fold::find_claim(const std::string& key) const
{
    std::optional<claim_state> holder;
    for (const history_entry& one : history_) {
        if (const auto* claim = std::get_if<claim_record>(&one.item); claim != nullptr && claim->key == key) {
            holder = claim_state{one.author.writer, one.author.incarnation, claim->request_id, one.time,
                                 one.offset};
        }
        if (const auto* end = std::get_if<claim_end_record>(&one.item); end != nullptr && end->key == key) {
            holder->ended = true;
            holder->end = end->end;
            holder = end->end == claim_end::released ? std::nullopt : holder;
        }
    }
    constexpr std::int64_t day_ms = 86'400'000;
    return holder && holder->claimed_at + day_ms < log_time_ ? std::nullopt : holder;
}

bool naive_fold::accepts(history_entry&, const claim_record& item) const
{
    return !find_claim(item.key);
}

bool naive_fold::accepts(history_entry& next, const claim_end_record& item) const
{
    const auto holder = find_claim(item.key);
    return holder && !holder->ended && holder->node == next.author.writer &&
           holder->incarnation == next.author.incarnation && holder->request_id == item.request_id;
}

std::vector<audit_entry> naive_fold::decisions() const
{
    std::vector<audit_entry> all;
    for (const history_entry& one : history_) {
        if (!one.decision.what.empty()) {
            all.push_back(one.decision);
        }
    }
    return all;
}

std::vector<audit_segment> naive_fold::segments() const
{
    std::vector<audit_segment> all;
    for (const history_entry& one : history_) {
        const auto* item = std::get_if<audit_segment>(&one.item);
        if (item != nullptr && item->index == static_cast<std::int64_t>(all.size())) {
            all.push_back(*item);
        }
    }
    return all;
}

std::size_t naive_fold::sealed() const
{
    std::size_t count = 0;
    for (const audit_segment& one : segments()) {
        count += audit_entries_from_json(one.entries).value().size();
    }
    return count;
}

bool naive_fold::accepts(history_entry&, const audit_segment& item) const
{
    const auto all = segments();
    for (const audit_segment& one : all) {
        if (one.index == item.index) {
            return one.previous == item.previous && one.entries == item.entries && one.hash == item.hash;
        }
    }
    if (item.index != static_cast<std::int64_t>(all.size()) ||
        item.previous != (all.empty() ? "" : all.back().hash) ||
        item.hash != sha256_hex(item.previous + item.entries)) {
        return false;
    }
    const auto open = decisions();
    std::vector<audit_entry> sealing;
    for (std::size_t at = sealed(); at < open.size(); ++at) {
        sealing.push_back(open[at]);
        if (audit_entries_to_json(sealing) == item.entries) {
            return true;
        }
    }
    return false;
}

std::int64_t naive_fold::snapshot_up_to() const
{
    std::int64_t last = -1;
    for (const history_entry& one : history_) {
        const auto* item = std::get_if<snapshot_done>(&one.item);
        last = item != nullptr ? item->up_to : last;
    }
    return last;
}

bool naive_fold::accepts(history_entry& next, const snapshot_done& item) const
{
    return item.up_to > snapshot_up_to() && item.up_to <= item.first_chunk &&
           item.first_chunk < next.offset && item.chunks > 0;
}

}  // namespace waxwingnotch
