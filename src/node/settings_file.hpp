/// @file
/// The settings file of a node.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/node/settings.hpp"

#include <string>
#include <vector>

namespace waxwingnotch {

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
