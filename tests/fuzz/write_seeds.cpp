/// Writes the seeds of a target into a directory, as the fuzzer's first corpus, or lists the targets.
#include "targets.hpp"

#include <fstream>
#include <iostream>

int main(int count, char** arguments)
{
    namespace fuzz = waxwingnotch::fuzz;
    if (count == 2 && std::string_view(arguments[1]) == "--list") {
        for (const fuzz::target& item : fuzz::targets()) {
            std::cout << item.name << "\n";
        }
        return 0;
    }
    if (count != 3) {
        std::cerr << "usage: waxwingnotch-fuzz-seeds --list | TARGET DIRECTORY\n";
        return 2;
    }
    const std::vector<std::string> inputs = fuzz::seeds(arguments[1]);
    for (std::size_t i = 0; i < inputs.size(); ++i) {
        std::ofstream(std::string(arguments[2]) + "/seed-" + std::to_string(i), std::ios::binary)
            << inputs[i];
    }
    return inputs.empty() ? 1 : 0;
}
