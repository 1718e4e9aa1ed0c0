#include "waxwingnotch/peer/membership.hpp"
#include "waxwingnotch/peer/messages.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

// Guards against suspecting a member whose link fails in one direction only.
TEST(membership, a_member_reported_by_another_one_is_alive)
{
    membership table("a");
    table.record_heartbeat({"b", 1, "dc", 0, 0, true, {}}, 0);
    table.record_heartbeat({"c", 1, "dc", 0, 0, true, {"b"}}, 5'000);
    EXPECT_TRUE(table.alive("b", 6'000));
    EXPECT_FALSE(table.alive("b", 9'000));
}

// Guards against a delayed heartbeat of an old process that overwrites the state of its successor.
TEST(membership, an_older_incarnation_is_ignored)
{
    membership table("a");
    table.record_heartbeat({"b", 2, "dc", 7, 0, true, {}}, 0);
    table.record_heartbeat({"b", 1, "dc", 99, 0, true, {}}, 10);
    EXPECT_EQ(table.find("b")->offset, 7);
}

// Guards against a hash that gives all or most duties to a few nodes.
TEST(duty_owner, spreads_duties)
{
    const std::vector<std::string> nodes = {"a", "b", "c", "d"};
    std::map<std::string_view, int> duties_by_node;
    for (int pool = 0; pool < 200; ++pool) {
        ++duties_by_node[duty_owner("pool:" + std::to_string(pool), nodes)];
    }
    ASSERT_EQ(duties_by_node.size(), 4U);
    for (const auto& [node, count] : duties_by_node) {
        EXPECT_GT(count, 25) << node;
    }
}

// Guards against messages that decode to something other than what was encoded.
TEST(messages, round_trip)
{
    const auto decoded =
        decode_peer_message(encode(key_answer_message{7, true, 200, "done", "text/plain", "\x01\xff"}));
    const auto& answer = std::get<key_answer_message>(decoded.value());
    EXPECT_EQ(answer.body, "\x01\xff");
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(decode_peer_message("\xff\xff"));
}

// Guards against a message whose nesting overflows the stack of the node that reads it, and against numbers
// whose conversion is undefined.
TEST(messages, deep_nesting_and_invalid_numbers_are_rejected)
{
    for (const char head : {'\x81', '\x9f', '\x7f', '\x5f'}) {
        EXPECT_FALSE(decode_peer_message(std::string(200'000, head)));
    }
    std::string bytes = encode(records_request_message{1});
    ASSERT_TRUE(decode_peer_message(bytes));
    const std::size_t from = bytes.find("from") + 4;
    bytes.replace(from, 1, std::string("\xfb\x7f\xe0\0\0\0\0\0\0", 9));  // 8.9e307
    EXPECT_FALSE(decode_peer_message(bytes));
}

}  // namespace waxwingnotch
