/// @file
/// Findings: problems in an input, collected with their place and reported together.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingnotch {

/// Where in an input a finding stands. Line and column start at 1; 0 means unknown.
struct place {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

/// How much a finding matters.
enum class severity {
    error,    // the input cannot be accepted
    warning,  // accepted, but probably not what was meant
};

/// One problem: what stands at a place, and what is expected there.
struct finding {
    severity level = severity::error;
    place where;
    std::string found;
    std::string expected;
};

/// Collects findings while checking goes on.
class findings {
public:
    void error(place where, std::string found, std::string expected);
    void warning(place where, std::string found, std::string expected);
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
