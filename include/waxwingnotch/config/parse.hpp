/// @file
/// Reads TOML into the plain structs and checks it. Every problem of an input is
/// collected with file, line and column; nothing stops at the first.
///
///     findings problems;
///     inventory machines = parse_inventory(text, "inventory.toml", problems);
///     rules      promises = parse_rules(text, "rules.toml", problems);
///     check_together(machines, promises, problems);
///     if (problems.has_errors()) { ... }
#pragma once

#include "waxwingnotch/base/findings.hpp"
#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/config/model.hpp"

#include <string_view>

namespace waxwingnotch {

/// @param text TOML source
/// @param file name used in findings
/// @param problems receives what is wrong; on errors the returned value is incomplete
inventory parse_inventory(std::string_view text, std::string_view file, findings& problems);

/// @copydoc parse_inventory
rules parse_rules(std::string_view text, std::string_view file, findings& problems);

/// @copydoc parse_inventory
settings parse_settings(std::string_view text, std::string_view file, findings& problems);

/// Checks what needs both sides: pools that services name, budgets that the hosts can hold.
void check_together(const inventory& machines, const rules& promises, findings& problems);

/// Reads a whole file.
/// @return its bytes, or `io` with the path and the system's reason
result<std::string> read_file(const std::string& path);

}  // namespace waxwingnotch
