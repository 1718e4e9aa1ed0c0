#include "waxwingnotch/peer/membership.hpp"
#include "waxwingnotch/peer/messages.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

// Guards against suspecting a member whose link is silent one way only.
TEST(membership, a_report_of_another_member_keeps_it_alive)
{
    membership table("a");
    table.hear({"b", 1, "dc", 0, 0, true, {}}, 0);
    table.hear({"c", 1, "dc", 0, 0, true, {"b"}}, 5'000);
    EXPECT_TRUE(table.alive("b", 6'000));
    EXPECT_FALSE(table.alive("b", 9'000));
}

// Guards against an old process that wakes up and passes for the new one.
TEST(membership, an_older_incarnation_is_ignored)
{
    membership table("a");
    table.hear({"b", 2, "dc", 7, 0, true, {}}, 0);
    table.hear({"b", 1, "dc", 99, 0, true, {}}, 10);
    EXPECT_EQ(table.find("b")->offset, 7);
}

// Guards against nodes that choose different owners from the same list, and against one owner for all.
TEST(duty_owner, spreads_duties)
{
    const std::vector<std::string> nodes = {"a", "b", "c", "d"};
    std::map<std::string_view, int> owned;
    for (int pool = 0; pool < 200; ++pool) {
        ++owned[duty_owner("pool:" + std::to_string(pool), nodes)];
    }
    ASSERT_EQ(owned.size(), 4U);
    for (const auto& [node, count] : owned) {
        EXPECT_GT(count, 25) << node;
    }
}

// Guards against a message that another node reads differently.
TEST(messages, survive_encoding)
{
    const auto again =
        decode_peer_message(encode(key_message{7, true, 200, "done", "text/plain", "\x01\xff"}));
    const auto& answer = std::get<key_message>(again.value());
    EXPECT_EQ(answer.body, "\x01\xff");
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(decode_peer_message("\xff\xff"));
}

}  // namespace waxwingnotch
