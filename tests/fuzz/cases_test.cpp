/// Feeds the readers the seeds and every input that has failed before; see cases/LIST.
#include "targets.hpp"

#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>
#include <sstream>

namespace waxwingnotch::fuzz {

namespace {

/// Names of the cases, from the lines `TARGET/FILE cause`.
std::set<std::string> listed_cases()
{
    std::set<std::string> names;
    std::istringstream lines(read_file(std::string(WAXWINGNOTCH_FUZZ_CASES) + "/LIST").value());
    for (std::string line; std::getline(lines, line);) {
        names.insert(line.substr(0, line.find(' ')));
    }
    return names;
}

std::vector<std::string> stored_cases()
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(WAXWINGNOTCH_FUZZ_CASES)) {
        if (entry.is_regular_file() && entry.path().filename() != "LIST") {
            names.push_back(entry.path().parent_path().filename().string() + "/" +
                            entry.path().filename().string());
        }
    }
    return names;
}

}  // namespace

// Guards against a target that rejects its seeds, so that the fuzzer would only test the rejection.
TEST(fuzz_seeds, are_accepted)
{
    for (const target& item : targets()) {
        const std::vector<std::string> inputs = seeds(item.name);
        EXPECT_FALSE(inputs.empty()) << item.name;
        for (std::size_t i = 0; i < inputs.size(); ++i) {
            EXPECT_TRUE(item.run(inputs[i])) << item.name << " seed " << i;
        }
    }
}

// Guards against the return of a fault that ended the process. Each case runs in a process of its own, so
// that one that fails does not hide the others.
TEST(fuzz_cases, end_no_process)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    for (const std::string& name : stored_cases()) {
        const target* found = find_target(name.substr(0, name.find('/')));
        ASSERT_NE(found, nullptr) << name;
        const std::string input = read_file(std::string(WAXWINGNOTCH_FUZZ_CASES) + "/" + name).value();
        EXPECT_EXIT(
            {
                (void)found->run(input);
                std::_Exit(0);
            },
            testing::ExitedWithCode(0), "")
            << name;
    }
}

TEST(fuzz_cases, have_a_cause)
{
    const std::set<std::string> listed = listed_cases();
    for (const std::string& name : stored_cases()) {
        EXPECT_TRUE(listed.contains(name)) << name;
    }
}

}  // namespace waxwingnotch::fuzz
