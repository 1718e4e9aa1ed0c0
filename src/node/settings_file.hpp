/// @file
/// The settings file of a node.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/node/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwingnotch {

/// What tells a changed file from the one before. All 0: there is no file.
struct file_stamp {
    std::int64_t changed_ns = 0;  // time of the last write
    std::uint64_t number = 0;     // of the inode, which changes when another file takes the name
    std::int64_t bytes = 0;

    bool operator==(const file_stamp&) const = default;
};

/// Take it before the file is read, so that a change during the read counts as one.
file_stamp stamp_of(const std::string& file);

/// @param unusable receives the problems of optional fields
/// @param before the settings in force, which hold for unusable fields; the defaults at the start of a node
result<node_settings> read_settings(const std::string& file, std::vector<std::string>& unusable,
                                    const node_settings& before = {});

/// Logs one line for all optional fields that are unusable.
/// @param outcome which values they have instead
void log_unusable_settings(const std::vector<std::string>& unusable, const char* outcome);

/// Names of the fields of the settings file whose values differ from those in force.
struct settings_changes {
    std::vector<std::string> taken;
    std::vector<std::string> kept;           // addresses that the file does not name any more
    std::vector<std::string> needs_restart;  // what the node has derived from them lasts until its end
};

/// Takes over what may change while a node runs: the seeds, the addresses of the store, the policy service
/// and the host service, and limits that are read anew at each use.
/// @param settings in force @param read from the file
settings_changes take_over(node_settings& settings, const node_settings& read);

/// Logs what a reload has changed, and one warning each for the fields that were kept and that need a
/// restart.
void log_reload(const node_settings& settings, const settings_changes& changes);

}  // namespace waxwingnotch
