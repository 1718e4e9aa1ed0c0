/// @file
/// Mutations that know the form of a document. Byte-wise mutations seldom produce a valid document that is
/// nested deeply or holds a number at a limit.
#pragma once

#include "targets.hpp"

#include <cstdint>
#include <string>

namespace waxwingnotch::fuzz {

/// Changes a document in one place. Equal arguments give equal results.
/// @param max_size largest size of the result
std::string mutate(input_form form, std::string input, std::uint32_t seed, std::size_t max_size);

}  // namespace waxwingnotch::fuzz
