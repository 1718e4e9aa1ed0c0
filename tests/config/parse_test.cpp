#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {
std::string example(const std::string& name)
{
    const auto text = read_file(std::string(WAXWINGNOTCH_EXAMPLES) + "/" + name);
    return text ? text.value() : std::string();
}
}  // namespace

// Guards against shipped examples that the validation rejects.
TEST(parse, examples_have_no_findings)
{
    for (const std::string deployment : {"tokachi", "resins"}) {
        findings problems;
        const inventory machines = parse_inventory(example(deployment + "/inventory.toml"), "i", problems);
        const rules rule_set = parse_rules(example(deployment + "/rules.toml"), "r", problems);
        parse_settings(example(deployment + "/entry-1.toml"), "s", problems);
        check_consistency(machines, rule_set, problems);
        for (const finding& item : problems.items()) {
            ADD_FAILURE() << to_string(item);
        }
        EXPECT_EQ(rule_set.services.size(), 5U);
    }
}

// Guards against a check that stops at the first problem, or that reports a wrong location.
TEST(parse, every_problem_is_found_with_its_location)
{
    findings problems;
    parse_inventory("[[pool]]\n"
                    "name = \"a\"\n"
                    "colour = 1\n"
                    "[[host]]\n"
                    "name = \"h\"\n"
                    "address = \"nowhere\"\n"
                    "rack = \"r\"\n"
                    "pool = \"b\"\n"
                    "slots = 0\n",
                    "f", problems);
    std::string all;
    for (const finding& item : problems.items()) {
        all += to_string(item) + "\n";
    }
    EXPECT_NE(all.find("f:3:10: error: found unknown key 'colour'"), std::string::npos) << all;
    EXPECT_NE(all.find("f:6:11: error: found address 'nowhere'"), std::string::npos) << all;
    EXPECT_NE(all.find("f:7:8: error: found unknown rack 'r'"), std::string::npos) << all;
    EXPECT_NE(all.find("f:8:8: error: found unknown pool 'b'"), std::string::npos) << all;
    EXPECT_NE(all.find("f:9:9: error: found 0 for 'slots'"), std::string::npos) << all;
}

// Guards against JSON that changes when it is parsed and written again.
TEST(json, inventory_round_trips)
{
    findings problems;
    const inventory machines = parse_inventory(example("tokachi/inventory.toml"), "i", problems);
    const std::string text = inventory_to_json(machines);
    EXPECT_EQ(inventory_to_json(inventory_from_json(text).value()), text);
}

// Guards against a typing error that ends the process: the library asserts that a key follows a bracket.
TEST(parse, a_bracket_without_a_key_is_a_finding_with_its_location)
{
    for (const std::string& header : {std::string("[)"), std::string("[\0", 2), std::string("[[ =")}) {
        findings problems;
        parse_rules("[retry]\nmax_attempts = 1\n" + header, "f", problems);
        ASSERT_EQ(problems.items().size(), 1U);
        const std::string found = to_string(problems.items()[0]);
        EXPECT_TRUE(found.starts_with("f:3:" + std::to_string(header.size()) + ": error: found a key"))
            << found;
    }
}

// Guards against documents whose numbers have no defined conversion, so that two builds could differ, and
// against nesting that the library follows by recursion.
TEST(json, numbers_out_of_range_and_deep_nesting_are_rejected)
{
    const std::string start = R"({"services":{},"teams":{"t":{"quota_slots":)";
    EXPECT_TRUE(rules_from_json(start + "8}}}"));
    EXPECT_TRUE(rules_from_json(start + "8.0}}}"));
    for (const char* number : {"1e308", "-1e308", "18446744073709551615", "1e19", "5e9", "-2.5"}) {
        EXPECT_FALSE(rules_from_json(start + number + "}}}")) << number;
    }
    EXPECT_FALSE(rules_from_json(start + std::string(100'000, '[') + std::string(100'000, ']') + "}}}"));
    EXPECT_FALSE(inventory_from_json(R"({"data_centres":{},"racks":{},"pools":{},"hosts":{},"x":1e308})"));
}

}  // namespace waxwingnotch
