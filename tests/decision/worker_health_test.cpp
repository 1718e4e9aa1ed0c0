#include "naive_worker_health.hpp"

#include "waxwingnotch/decision/worker_health.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace waxwingnotch {

namespace {

health_event event_of(std::string_view host, work_result result, std::int64_t now, std::uint32_t max_out = 9)
{
    return {host, "pool", "service", result, now, now, {}, max_out};
}

health_event random_event(const std::vector<std::string>& hosts, std::int64_t now)
{
    const auto host = *rc::gen::inRange<std::size_t>(0, hosts.size());
    const bool failed = *rc::gen::inRange(0, 100) < (host < 2 ? 90 : 15);
    return event_of(hosts[host], failed ? work_result::failed : work_result::succeeded, now);
}

const std::vector<std::string> five_hosts = {"a", "b", "c", "d", "e"};

}  // namespace

// Guards against an incremental score or window that differs from a recomputation over the whole history.
RC_GTEST_PROP(worker_health, first_ejection_equals_recomputation, ())
{
    worker_health health;
    naive::health_history history;
    for (std::int64_t now = 1; now <= 120; ++now) {
        const health_event event = random_event(five_hosts, now);
        const bool expected =
            history.ejects({std::string(event.host), "service", now, event.result == work_result::failed});
        const bool ejected = health.observe(event).action == health_action::eject;
        RC_ASSERT(ejected == expected);
        if (ejected) {
            return;
        }
    }
}

// Guards against ejections that leave less capacity than the pool's budget.
RC_GTEST_PROP(worker_health, never_more_out_than_the_budget_allows, ())
{
    worker_health health;
    const auto most = *rc::gen::inRange<std::uint32_t>(0, 3);
    for (std::int64_t now = 1; now <= 300; ++now) {
        health_event event = random_event(five_hosts, now);
        event.max_out = most;
        health.observe(event);
        const auto reduced = std::count_if(five_hosts.begin(), five_hosts.end(), [&](const auto& host) {
            return health.work_limit(host, 8, now + 200) < 8;
        });
        RC_ASSERT(static_cast<std::uint32_t>(reduced) <= most);
    }
}

// Guards against ejecting a whole pool because one service starts to fail on all hosts.
RC_GTEST_PROP(worker_health, a_service_that_fails_on_all_hosts_ejects_no_worker, ())
{
    worker_health health;
    for (std::int64_t now = 1; now <= 400; ++now) {
        const auto host = *rc::gen::inRange<std::size_t>(0, five_hosts.size());
        const auto result = now <= 100 ? work_result::succeeded : work_result::failed;
        RC_ASSERT(health.observe(event_of(five_hosts[host], result, now)).action == health_action::none);
    }
}

// Guards against ejecting workers for poison requests, which fail on every worker.
TEST(worker_health, a_poison_request_ejects_no_worker)
{
    worker_health health;
    for (std::int64_t now = 1; now <= 1'000; now += 3) {
        health.observe(event_of(now % 2 == 0 ? "c" : "d", work_result::succeeded, now));
        health.observe(event_of("a", work_result::failed, now + 1));
        health_event again = event_of("b", work_result::failed, now + 2);
        again.previous_host = "a";
        EXPECT_EQ(health.observe(again).action, health_action::none);
        EXPECT_EQ(health.mode("a", now + 2), worker_mode::full);
    }
}

// Guards against ejecting a worker whose old connections are broken while new ones work.
TEST(worker_health, silence_of_open_connections_requests_a_fresh_one)
{
    worker_health health;
    health_event event = event_of("a", work_result::silent, 1'000);
    event.sent_at_ms = 100;
    EXPECT_EQ(health.observe(event).action, health_action::reconnect);
    for (int request = 0; request < 63; ++request) {
        health.observe(event_of(request % 2 == 0 ? "b" : "c", work_result::succeeded, 1'001));
        event.now_ms = 1'002;
        EXPECT_EQ(health.observe(event).action, health_action::none);
    }
    EXPECT_EQ(health.mode("a", 1'003), worker_mode::full);
}

// Guards against ejecting a worker that is only slow, and against keeping one that never answers.
TEST(worker_health, late_answers_do_not_eject_but_lasting_silence_does)
{
    for (const work_result result : {work_result::late, work_result::silent}) {
        worker_health health;
        bool ejected = false;
        for (std::int64_t now = 1; now <= 20; ++now) {
            health.observe(event_of("b", work_result::succeeded, now * 100));
            health.observe(event_of("c", work_result::succeeded, now * 100));
            ejected |= health.observe(event_of("a", result, now * 100)).action == health_action::eject;
        }
        EXPECT_EQ(ejected, result == work_result::silent);
    }
}

// Guards against a recovered worker that stays ejected, and one that gets full work again at once.
TEST(worker_health, is_restored_after_probation)
{
    worker_health health;
    std::int64_t now = 0;
    health_verdict verdict;
    for (int round = 0; round < 20 && verdict.action != health_action::eject; ++round) {
        health.observe(event_of("b", work_result::succeeded, ++now));
        health.observe(event_of("c", work_result::succeeded, now));
        verdict = health.observe(event_of("a", work_result::failed, now));
    }
    ASSERT_EQ(verdict.action, health_action::eject);
    EXPECT_EQ(health.work_limit("a", 8, now), 0U);
    now += verdict.pause_ms;
    EXPECT_EQ(health.work_limit("a", 8, now), 1U);
    for (int success = 0; success < 8; ++success) {
        verdict = health.observe(event_of("a", work_result::succeeded, ++now));
    }
    EXPECT_EQ(verdict.action, health_action::restore);
    EXPECT_EQ(health.work_limit("a", 8, now), 8U);
}

}  // namespace waxwingnotch
