#include "waxwingnotch/cli/cli.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <regex>

namespace waxwingnotch {

namespace {

/// Exit code of a command, and its standard output.
struct command_run {
    int code = 0;
    std::string out;
};

command_run run(const std::vector<std::string>& command_line)
{
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    command_run done;
    done.code = run_command_line(command_line);
    done.out = testing::internal::GetCapturedStdout();
    testing::internal::GetCapturedStderr();
    return done;
}

std::string example(const std::string& name)
{
    return read_file(std::string(WAXWINGNOTCH_EXAMPLES) + "/" + name).value();
}

/// Replaces the first occurrence; fails if there is none.
void replace_first(std::string& text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
}

}  // namespace

// Guards against an uncaught exception when an option that needs an integer has another value.
TEST(command_line, a_wrong_option_value_or_command_is_a_usage_error)
{
    EXPECT_EQ(run({"watch", "--node=127.0.0.1:1", "--timeout-ms=soon"}).code, exit_usage);
    EXPECT_EQ(run({"check"}).code, exit_usage);
    EXPECT_EQ(run({"unheard-of"}).code, exit_usage);
}

// Guards against a command whose --help fails, and against a failing --version.
TEST(command_line, help_of_every_command)
{
    for (const char* name :
         {"serve", "check", "publish", "watch", "status", "explain", "audit", "drain", "restore", "wave"}) {
        const command_run help = run({name, "--help"});
        EXPECT_EQ(help.code, exit_ok) << name;
        EXPECT_NE(help.out.find("Usage:"), std::string::npos) << name;
    }
    EXPECT_EQ(run({"--version"}).code, exit_ok);
}

// Guards against programs of different sources that cannot be told apart: `--version` named the release only.
TEST(command_line, version_names_the_sources)
{
    const std::string text = run({"--version"}).out;
    EXPECT_TRUE(std::regex_match(text, std::regex("waxwingnotch [0-9.]+, sources [0-9a-f]{16}\n"))) << text;
}

// Guards against a check that misses an error or stops at the first one. Each of the two examples gets
// five errors, spread over its three files.
TEST(command_line, check_lists_every_injected_error)
{
    for (const std::string deployment : {"tokachi", "resins"}) {
        std::string machines = example(deployment + "/inventory.toml");
        std::string rule_set = example(deployment + "/rules.toml");
        std::string node = example(deployment + "/entry-1.toml");
        replace_first(machines, "slots = 8", "slots = \"eight\"");
        replace_first(machines, "rack = \"rack-02\"", "rack = \"rack-99\"");
        replace_first(rule_set, "queue_limit", "queue_limits");
        replace_first(rule_set, "budget_ratio = 0.1", "budget_ratio = 7");
        replace_first(node, "address = \"127.0.0.1", "address = \"localhost");
        const std::string base = testing::TempDir() + "waxwingnotch-check-";
        std::ofstream(base + "i.toml") << machines;
        std::ofstream(base + "r.toml") << rule_set;
        std::ofstream(base + "s.toml") << node;
        const command_run done = run({"check", "--inventory=" + base + "i.toml", "--rules=" + base + "r.toml",
                                      "--settings=" + base + "s.toml"});
        EXPECT_EQ(done.code, exit_findings);
        for (const char* part : {"for 'slots'", "unknown rack 'rack-99'", "unknown key 'queue_limits'",
                                 "7 for 'budget_ratio'", "address 'localhost"}) {
            EXPECT_NE(done.out.find(part), std::string::npos) << part << "\n" << done.out;
        }
        EXPECT_NE(done.out.find("3 files checked, 5 findings"), std::string::npos) << done.out;
        for (const char* file : {"i.toml", "r.toml", "s.toml"}) {
            std::remove((base + file).c_str());
        }
    }
}

}  // namespace waxwingnotch
