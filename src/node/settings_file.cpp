#include "node/settings_file.hpp"

#include "documents.hpp"

#include "waxwingnotch/base/log.hpp"

#include <sys/stat.h>

#include <fstream>
#include <sstream>

namespace waxwingnotch {

namespace {

std::string join(const std::vector<std::string>& items, const char* separator)
{
    std::string text;
    for (const std::string& item : items) {
        text += (text.empty() ? "" : separator) + item;
    }
    return text;
}

}  // namespace

file_stamp stamp_of(const std::string& file)
{
    struct stat found {};
    if (stat(file.c_str(), &found) != 0) {
        return {};
    }
    constexpr std::int64_t ns_per_s = 1'000'000'000;
    return {.changed_ns = found.st_mtim.tv_sec * ns_per_s + found.st_mtim.tv_nsec,
            .number = found.st_ino,
            .bytes = found.st_size};
}

result<node_settings> read_settings(const std::string& file, std::vector<std::string>& unusable,
                                    const node_settings& before)
{
    std::ifstream input(file);
    if (!input) {
        return fail(error_code::io, "cannot read the settings file '" + file + "'");
    }
    std::stringstream content;
    content << input.rdbuf();
    return adapter::decode_settings(content.str(), &unusable, before);
}

void log_unusable_settings(const std::vector<std::string>& unusable, const char* outcome)
{
    if (!unusable.empty()) {
        log_event(log_level::warning, "settings", {{"outcome", outcome}, {"reason", join(unusable, "; ")}});
    }
}

settings_changes take_over(node_settings& settings, const node_settings& read)
{
    settings_changes changes;
    const auto take = [&](const char* field, auto node_settings::*member) {
        if (settings.*member != read.*member) {
            settings.*member = read.*member;
            changes.taken.emplace_back(field);
        }
    };
    const auto take_address = [&](const char* field, std::string node_settings::*member) {
        if ((read.*member).empty() && !(settings.*member).empty()) {
            changes.kept.emplace_back(field);
            return;
        }
        take(field, member);
    };
    const auto keep = [&](const char* field, auto node_settings::*member) {
        if (settings.*member != read.*member) {
            changes.needs_restart.emplace_back(field);
        }
    };
    take("seeds", &node_settings::seeds);
    take("platform.address", &node_settings::store_address);
    take_address("advice", &node_settings::policy_address);
    take_address("cloudApi.address", &node_settings::host_service_address);
    take("cloudApi.dutyPerS", &node_settings::host_orders_per_s);
    take("limits.maxFds", &node_settings::max_descriptors);
    take("bounds.graceS", &node_settings::drain_grace_ms);
    take("bounds.leaseMs", &node_settings::takeover_pause_ms);
    take("bounds.maintenanceS", &node_settings::maintenance_ms);
    // The listeners, the membership in the group, the link's budget and the owners of shards are made with
    // these.
    keep("nodeName", &node_settings::name);
    keep("zone", &node_settings::data_centre);
    keep("ip", &node_settings::ip);
    keep("listenAddrs.front", &node_settings::caller_address);
    keep("listenAddrs.ready", &node_settings::ready_address);
    keep("listenAddrs.control", &node_settings::internal_address);
    keep("limits.cpuShare, limits.cores", &node_settings::processor_milli);
    keep("limits.linkMbps", &node_settings::link_kbps);
    keep("platform.parts", &node_settings::partitions);
    keep("platform.recordBytes", &node_settings::max_record_bytes);
    keep("platform.ttlMinMs", &node_settings::min_ttl_ms);
    keep("bounds.holdMaxMs", &node_settings::max_lease_ms);
    keep("bounds.drainMs", &node_settings::worker_drain_ms);
    keep("bounds.cancel_ms", &node_settings::cancel_ms);
    keep("bounds.status_s", &node_settings::status_retention_ms);
    return changes;
}

void log_reload(const node_settings& settings, const settings_changes& changes)
{
    log_event(
        log_level::info, "reload",
        {{"outcome", "in force"}, {"store", settings.store_address}, {"changed", join(changes.taken, ", ")}});
    if (!changes.kept.empty()) {
        log_event(log_level::warning, "reload",
                  {{"outcome", "kept"},
                   {"fields", join(changes.kept, ", ")},
                   {"reason", "the settings file names no address"}});
    }
    if (!changes.needs_restart.empty()) {
        log_event(log_level::warning, "reload",
                  {{"outcome", "needs a restart"},
                   {"fields", join(changes.needs_restart, ", ")},
                   {"reason", "these settings hold until the process ends"}});
    }
}

}  // namespace waxwingnotch
