/// Entry points that libFuzzer calls. The environment variable FUZZ_TARGET names the target.
#include "mutator.hpp"
#include "targets.hpp"

#include "waxwingnotch/base/log.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace {

const waxwingnotch::fuzz::target& current_target()
{
    static const waxwingnotch::fuzz::target* found = [] {
        const char* name = std::getenv("FUZZ_TARGET");
        return waxwingnotch::fuzz::find_target(name == nullptr ? "" : name);
    }();
    if (found == nullptr) {
        std::cerr << "FUZZ_TARGET names no target; expected one of";
        for (const waxwingnotch::fuzz::target& item : waxwingnotch::fuzz::targets()) {
            std::cerr << ' ' << item.name;
        }
        std::cerr << "\n";
        std::exit(1);
    }
    return *found;
}

}  // namespace

// NOLINTBEGIN(readability-identifier-naming): the names are libFuzzer's
extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t max_size);

extern "C" int LLVMFuzzerInitialize(int*, char***)
{
    waxwingnotch::init_log({.level = waxwingnotch::log_level::error, .file = "/dev/null"});
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    (void)current_target().run({reinterpret_cast<const char*>(data), size});
    return 0;
}

/// Makes every second mutation one that knows the form of the document.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t max_size,
                                               unsigned seed)
{
    if (seed % 2 == 0) {
        return LLVMFuzzerMutate(data, size, max_size);
    }
    const std::string changed = waxwingnotch::fuzz::mutate(
        current_target().form, {reinterpret_cast<char*>(data), size}, seed, max_size);
    std::copy(changed.begin(), changed.end(), data);
    return changed.size();
}
// NOLINTEND(readability-identifier-naming)
