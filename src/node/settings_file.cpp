#include "node/settings_file.hpp"

#include "documents.hpp"

#include "waxwingnotch/base/log.hpp"

#include <fstream>
#include <sstream>

namespace waxwingnotch {

result<node_settings> read_settings(const std::string& file, std::vector<std::string>& unusable)
{
    std::ifstream input(file);
    if (!input) {
        return fail(error_code::io, "cannot read the settings file '" + file + "'");
    }
    std::stringstream content;
    content << input.rdbuf();
    return adapter::decode_settings(content.str(), &unusable);
}

void log_unusable_settings(const std::vector<std::string>& unusable)
{
    std::string problems;
    for (const std::string& problem : unusable) {
        problems += (problems.empty() ? "" : "; ") + problem;
    }
    if (!problems.empty()) {
        log_event(log_level::warning, "settings", {{"outcome", "defaults used"}, {"reason", problems}});
    }
}

}  // namespace waxwingnotch
