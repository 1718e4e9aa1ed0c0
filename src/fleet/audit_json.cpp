#include "fleet/audit_json.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

using nlohmann::json;

std::string audit_entries_to_json(const std::vector<audit_entry>& entries)
{
    return json(entries).dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<audit_entry>> audit_entries_from_json(std::string_view text)
{
    try {
        return json::parse(text).get<std::vector<audit_entry>>();
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

}  // namespace waxwingnotch
