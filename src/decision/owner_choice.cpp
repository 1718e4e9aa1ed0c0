#include "waxwingnotch/decision/owner_choice.hpp"

namespace waxwingnotch {

namespace {

constexpr int clearly_stronger = 2;  // multiple of the own share; hosts of one class differ by less

}  // namespace

bool should_own(int own_milli, std::span<const int> owners, int owned, int partitions)
{
    if (owned < partitions) {
        return true;
    }
    int stronger_milli = 0;
    for (const int owner_milli : owners) {
        stronger_milli += owner_milli >= clearly_stronger * own_milli ? owner_milli : 0;
    }
    return stronger_milli / partitions < own_milli;
}

}  // namespace waxwingnotch
