/// @file
/// One entry node: creates and connects all components and runs until it is told to stop.
///
///     entry_node node(settings);
///     int code = node.run();
#pragma once

#include "waxwingnotch/config/model.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace waxwingnotch {

/// Phase of a node's life cycle.
enum class node_phase {
    catching_up,  // refuses new requests until its state is current, after a start or a pause
    serving,      // accepts requests
    draining,     // planned stop: finishes its open requests
};

const char* to_string(node_phase phase);

/// The process behind the command `serve`.
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
