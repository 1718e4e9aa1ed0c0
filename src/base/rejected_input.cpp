#include "waxwingnotch/base/rejected_input.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <array>
#include <optional>
#include <string>

namespace waxwingnotch {

namespace {

constexpr std::int64_t line_interval_ms = 1'000;  // per source

struct source_state {
    std::uint64_t refused = 0;
    std::uint64_t logged = 0;  // value of `refused` at the last line
    std::optional<std::int64_t> logged_ms;
};

source_state& state_of(input_source source)
{
    static std::array<source_state, input_source_count> states;
    return states[static_cast<std::size_t>(source)];
}

}  // namespace

std::string_view to_string(input_source source)
{
    switch (source) {
    case input_source::caller:
        return "caller";
    case input_source::operator_record:
        return "operator_record";
    case input_source::worker_entry:
        return "worker_entry";
    case input_source::worker_answer:
        return "worker_answer";
    case input_source::store_answer:
        return "store_answer";
    case input_source::host_service:
        return "host_service";
    case input_source::policy_service:
        return "policy_service";
    case input_source::entry_node:
        return "entry_node";
    }
    return "unnamed";
}

void note_rejected_input(input_source source, std::string_view key, std::string_view reason)
{
    source_state& state = state_of(source);
    ++state.refused;
    const std::int64_t now = monotonic_ms();
    if (state.logged_ms && now - *state.logged_ms < line_interval_ms) {
        return;
    }
    constexpr std::size_t max_shown = 200;  // characters of a text that the writer chose
    log_event(log_level::warning, "input_rejected",
              {{"source", std::string(to_string(source))},
               {"key", std::string(key.substr(0, max_shown))},
               {"reason", std::string(reason.substr(0, max_shown))},
               {"count", state.refused - state.logged}});
    state.logged = state.refused;
    state.logged_ms = now;
}

std::uint64_t rejected_inputs(input_source source)
{
    return state_of(source).refused;
}

}  // namespace waxwingnotch
