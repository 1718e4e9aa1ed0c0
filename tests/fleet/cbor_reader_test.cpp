#include "waxwingnotch/base/cbor_reader.hpp"
#include "waxwingnotch/fleet/snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {

using nlohmann::json;

namespace {

bool library_accepts(const std::string& bytes)
{
    return !json::from_cbor(bytes, true, false).is_discarded();
}

json random_value(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 8 : 6)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::inRange<std::int64_t>(-300, 300);
    case 4:
        return *rc::gen::arbitrary<std::string>();
    case 5:
        return json::binary(*rc::gen::arbitrary<std::vector<std::uint8_t>>());
    case 6: {
        json list = json::array();
        for (int left = *rc::gen::inRange(0, 5); left > 0; --left) {
            list.push_back(random_value(depth - 1));
        }
        return list;
    }
    default: {
        json map = json::object();
        for (int left = *rc::gen::inRange(0, 5); left > 0; --left) {
            map[*rc::gen::arbitrary<std::string>()] = random_value(depth - 1);
        }
        return map;
    }
    }
}

}  // namespace

// Guards against a record that each node that reads the log follows by recursion until its stack overflows.
// The library does so for strings of indefinite length within each other, which are not valid CBOR.
TEST(cbor_reader, rejects_nested_strings_of_indefinite_length)
{
    for (const char head : {'\x7f', '\x5f'}) {
        const std::string nested(200'000, head);
        EXPECT_FALSE(is_bounded_cbor(nested));
        EXPECT_FALSE(decode(nested));
        EXPECT_FALSE(decode_state(nested));
        EXPECT_FALSE(is_bounded_cbor("\x81" + nested));
        // As the key of a map and behind a chunk.
        EXPECT_FALSE(is_bounded_cbor("\xa1" + nested));
        EXPECT_FALSE(is_bounded_cbor(head + std::string("\x61z") + nested));
    }
}

TEST(cbor_reader, accepts_items_of_indefinite_length)
{
    EXPECT_TRUE(is_bounded_cbor("\x7f\x61"
                                "a\x61"
                                "b\xff"));
    EXPECT_TRUE(is_bounded_cbor("\x9f\x01\x9f\xff\xbf\x61"
                                "a\x02\xff\xff"));
    EXPECT_FALSE(is_bounded_cbor("\xbf\x61"
                                 "a\xff"));
    EXPECT_FALSE(is_bounded_cbor("\xff"));
    EXPECT_FALSE(is_bounded_cbor("\x82\x01\xff"));
    EXPECT_FALSE(is_bounded_cbor("\x9f"));
    EXPECT_FALSE(is_bounded_cbor(""));
}

TEST(cbor_reader, bounds_nesting_and_lengths)
{
    EXPECT_TRUE(is_bounded_cbor(std::string(16, '\x81') + "\x01"));
    EXPECT_FALSE(is_bounded_cbor(std::string(17, '\x81') + "\x01"));
    EXPECT_FALSE(is_bounded_cbor(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01", 10)));
    EXPECT_FALSE(is_bounded_cbor(std::string("\xbb\x80\x00\x00\x00\x00\x00\x00\x01\x01", 10)));
    EXPECT_FALSE(is_bounded_cbor(std::string("\x5b\xff\xff\xff\xff\xff\xff\xff\xff\x01", 10)));
    EXPECT_FALSE(is_bounded_cbor("\xc1\x01"));
}

// Guards against a check that rejects records which the library writes.
RC_GTEST_PROP(cbor_reader, accepts_what_the_library_writes, ())
{
    RC_ASSERT(is_bounded_cbor([] {
        const std::vector<std::uint8_t> bytes = json::to_cbor(random_value(4));
        return std::string(bytes.begin(), bytes.end());
    }()));
}

// Guards against bytes that pass the check and are then read in another way than the check assumed.
RC_GTEST_PROP(cbor_reader, arbitrary_bytes_are_rejected_or_read, ())
{
    const auto heads =
        rc::gen::elementOf(std::string("\x00\x01\x18\x1b\x20\x40\x41\x5f\x60\x61\x7f\x80\x81\x82\x9f"
                                       "\xa0\xa1\xbf\xf6\xff",
                                       20));
    const std::string bytes = *rc::gen::container<std::string>(heads);
    if (library_accepts(bytes)) {
        RC_CLASSIFY(is_bounded_cbor(bytes), "accepted by both");
    }
    try {
        (void)parse_bounded_cbor(bytes);
    }
    catch (const json::exception&) {
        RC_SUCCEED("rejected");
    }
}

}  // namespace waxwingnotch
