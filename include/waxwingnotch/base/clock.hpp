/// @file
/// Clocks. Only processes read them; the fold and the decisions take time as an argument.
#pragma once

#include <cstdint>

namespace waxwingnotch {

/// @return wall-clock time in ms since the Unix epoch
std::int64_t wall_ms();

/// @return monotonic time in ms; it does not stop while the process is paused
std::int64_t monotonic_ms();

}  // namespace waxwingnotch
