/// Tests of orders that a worker rejects because of a later token of the same owner.
#include "loaded_core.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

constexpr std::int64_t next_life_ms = 150;

// A worker restarted while an order was under way and heard of the owner by its next poll, whose token is
// higher. It rejected the order, and the owner took itself for replaced and gave the shard up.
TEST(shard_own_token, an_order_sent_before_a_restart_does_not_end_the_ownership)
{
    loaded_core owner({});
    const std::uint64_t batch = owner.assign("a", 110);
    owner.core.on_stored(batch, 112);
    const shard_effects ordered = owner.step(112);
    ASSERT_EQ(ordered.starts.size(), 1U);
    const start_effect& start = ordered.starts[0];
    owner.answer("a", {}, {}, 160, next_life_ms);
    owner.core.on_start("a", start.order, {.outcome = order_result::fenced}, 161);
    EXPECT_FALSE(owner.core.fenced());
    owner.core.on_stop("a", {start.order.task, start.order.run, start.order.fencing_token},
                       {.outcome = order_result::fenced}, 162);
    EXPECT_FALSE(owner.core.fenced());
    owner.core.on_poll("a", 155, false, {.outcome = order_result::fenced}, 163);
    EXPECT_FALSE(owner.core.fenced());
    EXPECT_EQ(owner.core.runs(), 0U);
    owner.core.on_poll("a", 171, false, {.outcome = order_result::fenced}, 172);
    EXPECT_TRUE(owner.core.fenced());
}

}  // namespace
}  // namespace waxwingnotch
