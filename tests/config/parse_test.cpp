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

}  // namespace waxwingnotch
