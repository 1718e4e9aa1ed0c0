#include "waxwingnotch/base/result.hpp"

namespace waxwingnotch {

const char* to_string(error_code code)
{
    switch (code) {
    case error_code::invalid_argument:
        return "invalid-argument";
    case error_code::malformed:
        return "malformed";
    case error_code::not_found:
        return "not-found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::unknown_outcome:
        return "unknown-outcome";
    case error_code::gone:
        return "gone";
    case error_code::io:
        return "io";
    }
    return "unnamed";
}

}  // namespace waxwingnotch
