/// @file
/// Which entry nodes own shards when their hosts differ in size. Answers fleets in which a few hosts have
/// several times the processor of the others: a shard on one of the others would wait for its processor in
/// each turn of demand, while the large hosts idle.
#pragma once

#include <span>

namespace waxwingnotch {

/// @param own_milli processor share of this node, thousandths of a core
/// @param owners processor share of each present owner, this node left out
/// @param owned partitions that have an owner, this node's included
/// @param partitions partitions in all
/// @return whether this node should offer itself as an owner: some partition has none, or the owners that
///         are clearly stronger have less for each partition than this node would have
bool should_own(int own_milli, std::span<const int> owners, int owned, int partitions);

}  // namespace waxwingnotch
