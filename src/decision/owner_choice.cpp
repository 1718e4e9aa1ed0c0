#include "waxwingnotch/decision/owner_choice.hpp"

namespace waxwingnotch {

namespace {

constexpr int larger_factor = 2;  // multiple of this node's share; hosts of the same size differ by less

}  // namespace

bool should_own(int own_milli, std::span<const int> owners, int owned, int partitions)
{
    if (owned < partitions) {
        return true;
    }
    int larger_milli = 0;
    for (const int owner_milli : owners) {
        larger_milli += owner_milli >= larger_factor * own_milli ? owner_milli : 0;
    }
    return larger_milli / partitions < own_milli;
}

}  // namespace waxwingnotch
