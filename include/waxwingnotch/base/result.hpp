/// @file
/// Error and result types that every module returns.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

#include <string>

namespace waxwingnotch {

/// Kind of an error, for callers that branch on it.
enum class error_code {
    invalid_argument,  // the input breaks a documented rule
    malformed,         // the input cannot be decoded
    not_found,         // the named thing does not exist
    conflict,          // a newer version or epoch is in force
    unavailable,       // the remote side is unreachable or overloaded; the request had no effect
    unknown_outcome,   // the request may have taken effect
    gone,              // the log no longer holds the offset
    io,                // a file or socket operation failed
};

/// An error: its kind, and a message for an operator.
struct error {
    error_code code = error_code::invalid_argument;
    std::string message;
};

/// Returns the fixed text of @p code, as it appears in logs.
const char* to_string(error_code code);

/// A value or an error. Reading the one that is not set terminates the process.
template <class Value>
using result = boost::outcome_v2::basic_result<Value, error, boost::outcome_v2::policy::terminate>;

/// Makes a failed result.
/// @param code kind of the error
/// @param message text for an operator
inline auto fail(error_code code, std::string message)
{
    return boost::outcome_v2::failure(error{code, std::move(message)});
}

}  // namespace waxwingnotch
