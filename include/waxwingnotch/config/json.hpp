/// @file
/// JSON form of inventory and rules, as stored in log records, and patches between versions.
#pragma once

#include "waxwingnotch/base/result.hpp"
#include "waxwingnotch/config/model.hpp"

#include <string>
#include <string_view>

namespace waxwingnotch {

// ---- Complete content; the text is canonical, so that equal content has equal bytes ----

std::string inventory_to_json(const inventory& machines);
std::string rules_to_json(const rules& rule_set);

/// @return the content, or `malformed` with the reason; missing fields take their defaults
result<inventory> inventory_from_json(std::string_view text);
/// @copydoc inventory_from_json
result<rules> rules_from_json(std::string_view text);

// ---- Differences (RFC 6902) ----

/// @param from,to canonical JSON texts
/// @return the patch that turns @p from into @p to, as the fold applies it
std::string make_patch(std::string_view from, std::string_view to);

}  // namespace waxwingnotch
