/// @file
/// Parses TOML into the structs of model.hpp and validates it. All problems of an input are
/// collected with file, line and column; only a syntax error ends the validation.
///
///     findings problems;
///     inventory machines = parse_inventory(text, "inventory.toml", problems);
///     rules     rule_set = parse_rules(text, "rules.toml", problems);
///     check_consistency(machines, rule_set, problems);
///     if (problems.has_errors()) { ... }
#pragma once

#include "waxwingnotch/base/findings.hpp"
#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/config/model.hpp"

#include <string_view>

namespace waxwingnotch {

/// @param text TOML source
/// @param file name used in findings
/// @param problems receives the findings; after errors the returned value is incomplete
inventory parse_inventory(std::string_view text, std::string_view file, findings& problems);

/// @copydoc parse_inventory
rules parse_rules(std::string_view text, std::string_view file, findings& problems);

/// @copydoc parse_inventory
settings parse_settings(std::string_view text, std::string_view file, findings& problems);

/// Checks the inventory and the rules against each other: each service must name an existing pool with
/// enough hosts for its budget.
void check_consistency(const inventory& machines, const rules& rule_set, findings& problems);

/// Reads a whole file.
/// @return its bytes, or `io` with the path and the system's error message
result<std::string> read_file(const std::string& path);

}  // namespace waxwingnotch
