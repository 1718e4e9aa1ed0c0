/// @file
/// Notes input of other parties that was refused: one counter per source, and a bounded number of log lines
/// however often a writer repeats itself.
#pragma once

#include <cstdint>
#include <string_view>

namespace waxwingnotch {

/// Who wrote the input.
enum class input_source : std::uint8_t {
    caller,
    operator_record,
    worker_entry,
    worker_answer,
    store_answer,
    host_service,
    policy_service,
    entry_node,
};
constexpr std::size_t input_source_count = 8;
std::string_view to_string(input_source source);

/// Counts a refused input, and logs it as `input_rejected` unless its source was logged less than a second
/// ago. The line says how many inputs of the source were refused since the last one.
/// @param key which input, such as a worker's id or address @param reason why it was refused
void note_rejected_input(input_source source, std::string_view key, std::string_view reason);

/// @return inputs of the source refused since the process started
std::uint64_t rejected_inputs(input_source source);

}  // namespace waxwingnotch
