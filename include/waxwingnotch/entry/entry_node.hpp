/// @file
/// One entry node: wires all parts together and runs until it is told to stop.
///
///     entry_node node(settings);
///     int code = node.run();
#pragma once

#include "waxwingnotch/config/model.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace waxwingnotch {

/// Where a node stands.
enum class node_phase {
    catching_up,  // does not take new requests yet, or not after a pause
    serving,      // takes requests
    draining,     // planned stop: finishes what it has
};

const char* to_string(node_phase phase);

/// A process of the `serve` role.
class entry_node {
public:
    explicit entry_node(settings options);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    entry_node(entry_node&&) = delete;
    entry_node& operator=(entry_node&&) = delete;

    /// Serves until SIGTERM, SIGINT or a drain request.
    /// @return exit code: 0 after a planned stop, 1 if it cannot listen, 3 if requests were cut
    int run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

}  // namespace waxwingnotch
