/// Tests of the bounds on JSON and CBOR that other parties write, and on addresses.
#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/base/json_fields.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {
namespace {

using nlohmann::json;

std::string nested(std::size_t depth, char open = '[', char close = ']')
{
    return std::string(depth, open) + std::string(depth, close);
}

// 120,000 levels in a worker's registration ended every node that read it: the value was copied by recursion.
TEST(json_reader, deep_nesting_is_refused_before_a_value_exists)
{
    constexpr std::size_t deep = 120'000;
    EXPECT_TRUE(read_json(nested(max_nesting)));
    EXPECT_FALSE(read_json(nested(max_nesting + 1)));
    EXPECT_FALSE(read_json(nested(deep)));
    EXPECT_FALSE(read_json(std::string(deep, '[')));
    std::string objects;
    for (std::size_t level = 0; level < deep; ++level) {
        objects += R"({"a":)";
    }
    EXPECT_FALSE(read_json(objects));
    EXPECT_FALSE(read_json(R"({"x":)" + nested(deep) + "}"));
}

TEST(json_reader, brackets_in_strings_are_no_nesting)
{
    const auto read = read_json(R"({"a":"\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\\","b":"]]"})");
    ASSERT_TRUE(read);
    EXPECT_EQ(string_or(read.value(), "b"), "]]");
}

TEST(json_reader, invalid_text_is_refused)
{
    for (const char* text : {"", "[", "\xff\xfe", "{\"a\":1e400}", "[1,]", "\"\\"}) {
        EXPECT_FALSE(read_json(text)) << text;
    }
}

RC_GTEST_PROP(json_reader, reads_what_the_library_reads_up_to_the_limit, (const std::string& noise))
{
    const int depth = *rc::gen::inRange(0, 60);
    json value = noise.substr(0, 3).empty() ? json(1) : json("]}\"\\");
    for (int level = 0; level < depth; ++level) {
        value = *rc::gen::arbitrary<bool>() ? json::array({value}) : json{{"[{\"", value}};
    }
    const std::string text = value.dump();
    const auto read = read_json(text);
    RC_ASSERT(read.has_value() == (depth <= static_cast<int>(max_nesting)));
    if (read) {
        RC_ASSERT(read.value() == value);
    }
}

// Numbers out of range were cast, which is undefined: they were taken as the largest or smallest integer.
TEST(json_fields, numbers_out_of_range_are_not_integers)
{
    for (const char* text :
         {"1e300", "-1e300", "18446744073709551615", "9223372036854775807", "\"1\"", "null"}) {
        EXPECT_FALSE(to_integer(json::parse(text))) << text;
    }
    EXPECT_EQ(to_integer(json(1.9)), 1);
    EXPECT_EQ(to_integer(json(-5)), -5);
    EXPECT_EQ(to_integer(json(max_exact_integer)), max_exact_integer);
    EXPECT_FALSE(to_integer(json(max_exact_integer + 1)));
}

TEST(json_fields, a_reader_names_the_first_unusable_field)
{
    const json row = json::parse(R"({"a":"x","b":-1,"c":[1],"d":null,"e":2.5})");
    field_reader fields(row, "step 3");
    EXPECT_EQ(fields.integer("missing", 7, 0, 9), 7);
    EXPECT_EQ(fields.integer("d", 7, 0, 9), 7);
    EXPECT_EQ(fields.number("e", 0, 0, 9), 2.5);
    EXPECT_EQ(fields.text("a"), "x");
    EXPECT_EQ(fields.problem(), "");
    EXPECT_EQ(fields.integer("b", 7, 0, 9), 7);
    EXPECT_EQ(fields.problem(), "step 3.b is not a number from 0 to 9");
    EXPECT_TRUE(fields.texts("c").empty());
    EXPECT_EQ(fields.problem(), "step 3.b is not a number from 0 to 9");
}

// A host name in a worker's registration was looked up, which blocks the event loop.
TEST(address, only_numeric_addresses_with_a_port_are_connectable)
{
    EXPECT_TRUE(is_connectable("127.0.0.1:80"));
    EXPECT_TRUE(is_connectable("[::1]:65535"));
    for (const char* text :
         {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "127.0.0.1:-1",
          "127.0.0.1:", "127.0.0.1:80x", "127.0.0.1", ":80", ":", "", "localhost:80", "::1:80", "[::::1]:80",
          "[127.0.0.1]:80", "127.0.0.1\r\nX: y:80", "1.2.3:80", "[fe80::1%eth0]:80"}) {
        EXPECT_FALSE(is_connectable(text)) << text;
    }
    EXPECT_FALSE(is_connectable(std::string("127.0.0.1\0x:80", 14)));
    EXPECT_EQ(parse_endpoint("127.0.0.1:0")->port, 0);
}

TEST(rejected_input, is_counted_by_source)
{
    const std::uint64_t before = rejected_inputs(input_source::worker_entry);
    note_rejected_input(input_source::worker_entry, "i-1", "not JSON");
    note_rejected_input(input_source::worker_entry, "i-1", "not JSON");
    EXPECT_EQ(rejected_inputs(input_source::worker_entry), before + 2);
    EXPECT_EQ(rejected_inputs(input_source::policy_service), 0U);
}

}  // namespace
}  // namespace waxwingnotch
