#include "fleet/document_patch.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

using nlohmann::json;

namespace {

constexpr int max_nesting = 16;                      // documents need 4
constexpr std::size_t max_copied_bytes = 4U << 20U;  // total per patch; each `copy` can double a document

bool exceeds_max_nesting(std::string_view text)
{
    int nesting = 0;
    bool quoted = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (character == '\\') {
            ++at;
        }
        else if (character == '"') {
            quoted = !quoted;
        }
        else if (!quoted && (character == '[' || character == '{') && ++nesting > max_nesting) {
            return true;
        }
        else if (!quoted && (character == ']' || character == '}')) {
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

void apply_operation(json& root, const json& operation, std::size_t& copied_bytes)
{
    const auto name = operation.at("op").get<std::string>();
    const auto path = operation.at("path").get<std::string>();
    if (name == "add") {
        add(root, path, operation.at("value"));
        return;
    }
    if (name != "move" && name != "copy") {
        root.patch_inplace(json::array({operation}));
        return;
    }
    const auto from = operation.at("from").get<std::string>();
    const json value = root.at(json::json_pointer(from));
    copied_bytes += name == "copy" ? value.dump().size() : 0;
    if (copied_bytes > max_copied_bytes) {
        throw json::other_error::create(500, "the patch copies more than 4 MB", nullptr);
    }
    if (name == "move") {
        root.patch_inplace(json::array({{{"op", "remove"}, {"path", from}}}));
    }
    add(root, path, value);
}

}  // namespace

result<std::string> patch_document(std::string_view content, std::string_view patch)
{
    if (exceeds_max_nesting(patch)) {
        return fail(error_code::malformed, "nested too deeply");
    }
    try {
        json root = json::parse(content);
        const json operations = json::parse(patch);
        if (!operations.is_array()) {
            return fail(error_code::malformed, "not an array of steps");
        }
        std::size_t copied_bytes = 0;
        for (const json& operation : operations) {
            apply_operation(root, operation, copied_bytes);
        }
        // Repeated `copy` operations also add nesting, and dump() follows nesting by recursion.
        std::string text = root.dump();
        return exceeds_max_nesting(text)
                   ? result<std::string>(fail(error_code::malformed, "nested too deeply"))
                   : text;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

}  // namespace waxwingnotch
