/// Tests of starts that rest on knowledge of the workers and jobs that is no longer current.
#include "loaded_core.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

constexpr shard_options limited{
    .shard = 3, .epoch = 7, .max_registrations_age_ms = 1'600, .max_jobs_age_ms = 2'600};

// An append that took seconds was followed by the start at once, though the worker had begun to drain
// meanwhile.
TEST(shard_staleness, a_worker_that_drains_gets_no_start_that_was_stored_before)
{
    loaded_core owner({});
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    worker_entry entry = loaded_core::entry("a");
    entry.draining = true;
    owner.core.put_worker(entry, 500);
    owner.core.on_stored(batch, 4'000);
    EXPECT_TRUE(owner.step(4'000).starts.empty());
}

// The same for a worker whose host is about to be maintained.
TEST(shard_staleness, a_closed_worker_gets_no_start_that_was_stored_before)
{
    loaded_core owner({});
    const std::uint64_t batch = owner.assign("a", 110);
    owner.core.drain_worker("a", 9'000, 500);
    owner.core.on_stored(batch, 4'000);
    EXPECT_TRUE(owner.step(4'000).starts.empty());
}

// A process that was held up for seconds handled the stored append before the registrations that it had
// missed.
TEST(shard_staleness, stored_starts_wait_until_the_registrations_are_known)
{
    loaded_core owner({}, limited);
    owner.core.set_known_until(100, 100);
    const std::uint64_t batch = owner.assign("a", 110);
    ASSERT_NE(batch, 0U);
    owner.core.on_stored(batch, 1'800);
    EXPECT_TRUE(owner.step(1'800).starts.empty());
    EXPECT_EQ(owner.core.counts().starts_held, 1U);
    owner.core.set_known_until(1'790, 1'790);
    owner.core.tick(1'810, 1'810);
    EXPECT_EQ(owner.step(1'810).starts.size(), 1U);
}

// The same for cancels: a job that had been cancelled seconds before was started.
TEST(shard_staleness, stored_starts_wait_until_the_cancels_are_known)
{
    loaded_core owner({}, limited);
    owner.core.set_known_until(100, 100);
    const std::uint64_t batch = owner.assign("a", 110);
    owner.core.set_known_until(2'790, 100);
    owner.core.on_stored(batch, 2'800);
    EXPECT_TRUE(owner.step(2'800).starts.empty());
    owner.core.cancel_job(id_of(1), 2'805);
    owner.core.set_known_until(2'790, 2'790);
    owner.core.tick(2'810, 2'810);
    EXPECT_TRUE(owner.step(2'810).starts.empty());
}

// The same for the ownership: a newer owner may have claimed the shard, and does not wait for a start of this
// age on a worker that it cannot reach.
TEST(shard_staleness, stored_starts_wait_until_the_ownership_is_confirmed)
{
    constexpr std::int64_t limit_ms = shard_options{}.max_ownership_age_ms;
    loaded_core owner({});
    const std::uint64_t batch = owner.assign("a", 110);
    owner.core.set_ownership_confirmed(110);
    const std::int64_t late = 110 + limit_ms + 1;
    owner.core.on_stored(batch, late);
    const shard_effects held = owner.core.take_effects(late);
    EXPECT_TRUE(held.starts.empty());
    EXPECT_EQ(owner.core.counts().starts_held, 1U);
    ASSERT_NE(held.batch, 0U) << "no append that could confirm the ownership";
    owner.core.tick(late + 50, late + 50);
    EXPECT_EQ(owner.core.take_effects(late + 50).batch, 0U) << "a second append beside the first";
    owner.core.set_ownership_confirmed(late);
    owner.core.on_stored(held.batch, late + 60);
    EXPECT_EQ(owner.core.take_effects(late + 60).starts.size(), 1U);
    EXPECT_EQ(owner.core.counts().starts_held, 1U);
}

// Guards against an owner that had nothing to store for a while and assigns nothing more: an assignment is
// what its ownership is confirmed by.
TEST(shard_staleness, an_owner_that_was_idle_assigns_tasks)
{
    loaded_core owner({});
    owner.core.set_ownership_confirmed(100);
    EXPECT_NE(owner.assign("a", 60'000), 0U);
}

// An owner that the store did not reach renewed leases for longer than the next owner assumed.
TEST(shard_staleness, no_lease_is_renewed_after_the_ownership_has_become_uncertain)
{
    loaded_core owner(
        {.phase = task_phase::active, .last_run = 1, .runs = {{.number = 1, .worker = {"a", 5}}}});
    owner.core.on_owner_stored();
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 110);
    owner.core.set_renew_until(1'000);
    const auto renews = [&](std::int64_t now_ms) {
        const shard_effects effects = owner.core.take_effects(now_ms);
        return std::ranges::any_of(effects.polls, [](const poll_effect& poll) {
            return poll.worker.id == "a" && poll.order.lease_until_ms.has_value();
        });
    };
    EXPECT_TRUE(renews(1'000));
    owner.answer("a", {{.task = task_of(1), .run = 1}}, {}, 1'000);
    EXPECT_FALSE(renews(1'001));
}

// A new assignment would only wait in the store.
TEST(shard_staleness, nothing_is_assigned_while_the_registrations_are_old)
{
    loaded_core owner({}, limited);
    owner.core.set_known_until(100, 5'000);
    EXPECT_EQ(owner.assign("a", 5'000), 0U);
    EXPECT_EQ(owner.core.counts().starts_held, 1U);
    owner.core.set_known_until(5'000, 5'000);
    EXPECT_NE(owner.assign("a", 5'001), 0U);
}

}  // namespace
}  // namespace waxwingnotch
