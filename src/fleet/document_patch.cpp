#include "fleet/document_patch.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

using nlohmann::json;

namespace {

constexpr int max_nesting = 16;                      // documents need 4
constexpr std::size_t max_copied_bytes = 4U << 20U;  // each `copy` can double a document

bool too_deep(std::string_view text)
{
    int nesting = 0;
    bool quoted = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char sign = text[at];
        if (sign == '\\') {
            ++at;
        }
        else if (sign == '"') {
            quoted = !quoted;
        }
        else if (!quoted && (sign == '[' || sign == '{') && ++nesting > max_nesting) {
            return true;
        }
        else if (!quoted && (sign == ']' || sign == '}')) {
            --nesting;
        }
    }
    return false;
}

void add(json& root, const std::string& path, const json& value)
{
    const json::json_pointer target(path);
    if (!target.empty() && !root.at(target.parent_pointer()).is_structured()) {
        throw json::other_error::create(500, "the parent of " + path + " is a single value", nullptr);
    }
    root.patch_inplace(json::array({{{"op", "add"}, {"path", path}, {"value", value}}}));
}

void apply_step(json& root, const json& step, std::size_t& copied)
{
    const auto what = step.at("op").get<std::string>();
    const auto path = step.at("path").get<std::string>();
    if (what == "add") {
        add(root, path, step.at("value"));
        return;
    }
    if (what != "move" && what != "copy") {
        root.patch_inplace(json::array({step}));
        return;
    }
    const auto from = step.at("from").get<std::string>();
    const json value = root.at(json::json_pointer(from));
    copied += what == "copy" ? value.dump().size() : 0;
    if (copied > max_copied_bytes) {
        throw json::other_error::create(500, "the patch copies more than 4 MB", nullptr);
    }
    if (what == "move") {
        root.patch_inplace(json::array({{{"op", "remove"}, {"path", from}}}));
    }
    add(root, path, value);
}

}  // namespace

result<std::string> patch_document(std::string_view content, std::string_view patch)
{
    if (too_deep(patch)) {
        return fail(error_code::malformed, "nested too deeply");
    }
    try {
        json root = json::parse(content);
        const json steps = json::parse(patch);
        if (!steps.is_array()) {
            return fail(error_code::malformed, "not an array of steps");
        }
        std::size_t copied = 0;
        for (const json& step : steps) {
            apply_step(root, step, copied);
        }
        // Repeated copies nest as well, and dump() follows nesting by recursion.
        std::string text = root.dump();
        return too_deep(text) ? result<std::string>(fail(error_code::malformed, "nested too deeply")) : text;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

}  // namespace waxwingnotch
