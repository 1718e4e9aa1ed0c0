/// @file
/// Decides which entry nodes own shards when their hosts differ in size. In a fleet where a few hosts have
/// several times the CPU of the others, a shard on a small host would wait for CPU in each burst of demand
/// while the large hosts idle.
#pragma once

#include <span>

namespace waxwingnotch {

/// @param own_milli processor share of this node, thousandths of a core
/// @param owners processor share of each current owner except this node, thousandths of a core
/// @param owned partitions that have an owner, this node's included
/// @param partitions total number of partitions
/// @return true if this node should offer itself as an owner: a partition has no owner, or the owners with at
///         least twice this node's share have, per partition, less than this node's share
bool should_own(int own_milli, std::span<const int> owners, int owned, int partitions);

}  // namespace waxwingnotch
