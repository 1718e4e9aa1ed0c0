/// @file
/// Readers of documents that other programs write, as fuzzing targets. Each takes any bytes; it must return,
/// and what it accepts must be usable by the code behind the reader.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch::fuzz {

/// Form of a target's input, which selects the mutations.
enum class input_form { json, cbor, text, bytes };

struct target {
    const char* name;
    input_form form;
    /// @return whether the input was accepted
    bool (*run)(std::string_view input);
};

std::span<const target> targets();
/// @return null if there is no target @p name
const target* find_target(std::string_view name);
/// @return inputs that target @p name accepts
std::vector<std::string> seeds(std::string_view name);

}  // namespace waxwingnotch::fuzz
