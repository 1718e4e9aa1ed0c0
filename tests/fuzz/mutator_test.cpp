/// Guards against a mutator that no longer makes the inputs which it exists for.
#include "mutator.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch::fuzz {

namespace {

constexpr std::uint32_t mutations = 2'000;
constexpr std::size_t max_size = 262'144;

std::size_t longest_run(const std::string& text, char wanted)
{
    std::size_t longest = 0;
    std::size_t run = 0;
    for (const char character : text) {
        run = character == wanted ? run + 1 : 0;
        longest = std::max(longest, run);
    }
    return longest;
}

}  // namespace

TEST(mutator, makes_deep_nesting_and_numbers_at_the_limits)
{
    bool deep = false;
    bool limit = false;
    for (std::uint32_t seed = 0; seed < mutations; ++seed) {
        const std::string changed =
            mutate(input_form::json, R"({"a":[1,{"b":2.5}],"c":"d"})", seed, max_size);
        EXPECT_LE(changed.size(), max_size);
        deep = deep || longest_run(changed, '[') > 100'000;
        limit = limit || changed.find("9223372036854775808") != std::string::npos;
    }
    EXPECT_TRUE(deep);
    EXPECT_TRUE(limit);
}

TEST(mutator, nests_arrays_and_indefinite_strings_of_cbor)
{
    bool arrays = false;
    bool strings = false;
    for (std::uint32_t seed = 0; seed < mutations; ++seed) {
        const std::string changed = mutate(input_form::cbor, "\x82\x01\x61z", seed, max_size);
        EXPECT_LE(changed.size(), max_size);
        arrays = arrays || longest_run(changed, '\x81') > 100'000;
        strings = strings || longest_run(changed, '\x7f') > 100'000;
    }
    EXPECT_TRUE(arrays);
    EXPECT_TRUE(strings);
}

TEST(mutator, handles_empty_and_full_inputs)
{
    for (std::uint32_t seed = 0; seed < mutations; ++seed) {
        for (const input_form form :
             {input_form::json, input_form::cbor, input_form::text, input_form::bytes}) {
            EXPECT_LE(mutate(form, "", seed, 64).size(), 64U);
            EXPECT_LE(mutate(form, std::string(64, '\xff'), seed, 64).size(), 64U);
        }
    }
}

}  // namespace waxwingnotch::fuzz
