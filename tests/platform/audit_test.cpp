#include "platform/fake_log.hpp"

#include "waxwingnotch/platform/audit_keeper.hpp"
#include "waxwingnotch/platform/segment_reader.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retention_ms = 1'000'000;

/// A node that owns the duty `audit`, and a log that drops records after the retention.
class audit_keeper_test : public ::testing::Test {
protected:
    /// Appends a record.
    /// @return the fold's verdict on it
    verdict append(record item)
    {
        log.append("a", ++seq, std::move(item));
        return apply(state, log.entries.back()).front();
    }
    void append_decision()
    {
        const bool open = state.wave.open;
        append(wave_record{open ? wave_action::finish : wave_action::start,
                           state.wave.number + (open ? 0 : 1), "reason"});
    }
    void advance_time(std::int64_t time_ms)
    {
        log.now += time_ms;
        while (log.first_kept < state.next_offset &&
               log.entries[static_cast<std::size_t>(log.first_kept)].appended_at < log.now - retention_ms) {
            ++log.first_kept;
        }
    }
    void run_keeper()
    {
        while (segment_due(state, log.now, retention_ms) ||
               segment_to_carry_forward(state, log.now, retention_ms, keeper.lost())) {
            const std::size_t lost = keeper.lost().size();
            keeper.tick();
            const timer check_timer = loop.every(1, [&] {
                if (!proposed.empty() || keeper.lost().size() > lost) {
                    loop.stop();
                }
            });
            loop.run();
            for (auto& [item, done] : std::exchange(proposed, {})) {
                const verdict outcome = append(item);
                done({outcome.accepted, outcome.reason});
            }
        }
    }
    audit_report read_report()
    {
        std::vector<result<audit_segment>> copies;
        while (copies.size() < state.segments.size()) {
            read_segment(client, log.address, state, copies.size(), [&](const result<audit_segment>& copy) {
                copies.push_back(copy);
                loop.stop();
            });
            loop.run();
        }
        return verify_audit(state, copies);
    }

    event_loop loop;
    http_client client{loop};
    fake_log log{loop};
    fleet_state state;
    std::int64_t seq = 0;
    std::vector<std::pair<record, proposal_handler>> proposed;
    audit_keeper keeper{client,
                        log.address,
                        {"a", 1, retention_ms},
                        {[this]() -> const fleet_state& { return state; },
                         [](std::string_view) { return true; }, [] { return true; },
                         [this](record item, proposal_handler done) {
                             proposed.emplace_back(std::move(item), std::move(done));
                         },
                         [this] {
                             return log.now;
                         }}};
};

}  // namespace

// Guards against decisions that are lost once retention has removed the first copies of their segments.
TEST_F(audit_keeper_test, every_decision_outlives_retention)
{
    constexpr std::size_t rounds = 40;
    for (std::size_t round = 0; round < rounds; ++round) {
        append_decision();
        advance_time(retention_ms / 5);
        run_keeper();
    }
    EXPECT_GT(log.first_kept, 40);
    const audit_report report = read_report();
    EXPECT_TRUE(report.missing.empty());
    ASSERT_EQ(report.entries.size(), rounds);
    EXPECT_EQ(report.entries.front().offset, 0);
}

// Guards against a lost segment that keeps the others from being carried forward, or that the audit
// report does not mention.
TEST_F(audit_keeper_test, a_lost_segment_is_reported_and_the_others_are_kept)
{
    append_decision();
    advance_time(retention_ms / 4);
    run_keeper();
    advance_time(2 * retention_ms);  // no keeper runs
    append_decision();
    for (int round = 0; round < 12; ++round) {
        advance_time(retention_ms / 4);
        run_keeper();
    }
    const audit_report report = read_report();
    ASSERT_EQ(report.missing.size(), 1U);
    EXPECT_EQ(report.missing.front(),
              "segment 0 with 1 decisions, last seen at offset 1: the log has removed "
              "its last copy");
    EXPECT_EQ(report.entries.size(), 1U);
}

}  // namespace waxwingnotch
