/// @file
/// An entry node on the users' platform: accepts jobs from client accounts, owns a share of the
/// shards and, while it owns the last shard, manages the hosts.
#pragma once

#include "waxwingnotch/node/settings.hpp"

#include <string>

namespace waxwingnotch {

struct node_options {
    std::string settings_file;
    std::uint16_t metrics_port = 0;  // 0: no metrics listener
};

/// Runs a node until SIGTERM or SIGINT.
/// @return exit code: 0 after a graceful stop; 1 if the settings are invalid or a listener cannot be opened
int run_node(const node_options& options);

}  // namespace waxwingnotch
