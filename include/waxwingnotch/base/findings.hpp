/// @file
/// Findings: problems in an input, collected with their location and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Position in an input file. Line and column start at 1; 0 means unknown.
struct source_location {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

/// Whether a finding rejects the input.
enum class severity {
    error,    // the input cannot be accepted
    warning,  // accepted, but probably a mistake
};

/// One problem: what was found at a location, and what is expected there.
struct finding {
    severity level = severity::error;
    source_location location;
    std::string found;
    std::string expected;
};

/// Collects findings while an input is checked.
class findings {
public:
    void error(source_location location, std::string found, std::string expected);
    void warning(source_location location, std::string found, std::string expected);
    void append(const findings& other);

    bool has_errors() const;
    bool empty() const { return items_.empty(); }
    const std::vector<finding>& items() const { return items_; }

private:
    std::vector<finding> items_;
};

/// Formats one finding as `file:line:column: error: found X, expected Y`.
std::string to_string(const finding& item);

}  // namespace waxwingnotch
