/// @file
/// The settings file of a node.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/node/settings.hpp"

#include <string>
#include <vector>

namespace waxwingnotch {

/// @param unusable receives the problems of optional fields
result<node_settings> read_settings(const std::string& file, std::vector<std::string>& unusable);

/// Logs one line for all optional fields that are unusable.
void log_unusable_settings(const std::vector<std::string>& unusable);

}  // namespace waxwingnotch
