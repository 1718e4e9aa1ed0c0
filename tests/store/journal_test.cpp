/// Tests of the offsets in the answers that a journal gets.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/store/journal.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 20'000;

class journal_test : public testing::Test {
protected:
    /// Runs the loop until a handler stops it; fails the test after test_timeout_ms.
    void run()
    {
        const timer timeout = loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "the test timed out";
            loop.stop();
        });
        loop.run();
    }
    static journal::options options(bool sole_writer)
    {
        return {.topic = "keyed.t",
                .partition = 0,
                .writer = "owner",
                .epoch = 1,
                .sole_writer = sole_writer,
                .min_append_interval_ms = 1};
    }

    event_loop loop;
    fake_store store{loop};
};

append_request unfenced_append(const std::string& key, std::optional<std::string> value)
{
    return {.topic = "keyed.t", .partition = 0, .records = {{.key = key, .value = std::move(value)}}};
}

// A second owner with the same epoch and sequence numbers gets the answers of the first one as repeats.
// Batches that the store had dropped counted as stored, and the starts that they assign were ordered.
TEST_F(journal_test, journal_takes_no_answer_of_another_append_for_its_own)
{
    bool lost = false;
    bool acted = false;
    journal first(loop, store, options(true), [] { FAIL(); });
    journal second(loop, store, options(true), [&] {
        lost = true;
        loop.stop();
    });
    first.open([&] {
        first.put("a", "1");
        first.when_stored([&] {
            second.open([&] {
                second.put("b", "2");
                second.put("c", "2");
                second.when_stored([&] {
                    acted = true;
                    loop.stop();
                });
            });
        });
    });
    run();
    EXPECT_TRUE(lost);
    EXPECT_FALSE(acted);
}

// A record of another process between two appends was not noticed, and neither process stopped.
TEST_F(journal_test, sole_writer_is_lost_when_others_write)
{
    bool lost = false;
    bool acted = false;
    journal log(loop, store, options(true), [&] {
        lost = true;
        loop.stop();
    });
    log.open([&] {
        store.append(unfenced_append("other", "1"), [&](const append_result&) {
            log.put("a", "1");
            log.when_stored([&] {
                acted = true;
                loop.stop();
            });
        });
    });
    run();
    EXPECT_TRUE(lost);
    EXPECT_FALSE(acted);
}

// Guards against a check of the deletions of jobs that is too strict: all nodes append to their topic.
TEST_F(journal_test, journal_beside_other_writers_goes_on)
{
    journal log(loop, store, options(false), [] { FAIL(); });
    log.open([&] {
        store.append(unfenced_append("other", "1"), [&](const append_result&) {
            log.put("a", "1");
            log.when_stored([this] { loop.stop(); });
        });
    });
    run();
    EXPECT_EQ(store.newest_of("keyed.t", 0).size(), 2U);
    EXPECT_EQ(log.end_offset(), 2);
}

TEST_F(journal_test, journal_beside_other_writers_is_lost_when_offsets_go_back)
{
    bool acted = false;
    store.append(unfenced_append("other", "1"), [](const append_result&) {});
    journal log(loop, store, options(false), [this] { loop.stop(); });
    log.open([&] {
        store.forged_answers = {{.status = store_status::ok, .offset = 0, .end_offset = 1}};
        log.put("a", "1");
        log.when_stored([&] {
            acted = true;
            loop.stop();
        });
    });
    run();
    EXPECT_FALSE(acted);
}

// An answer without offsets tells nothing; it counted as stored.
TEST_F(journal_test, journal_repeats_an_append_that_was_answered_without_offsets)
{
    journal log(loop, store, options(true), [] { FAIL(); });
    store.forged_answers = {{.status = store_status::ok}};
    log.open([&] {
        store.forged_answers = {{.status = store_status::ok}, {.status = store_status::ok, .end_offset = 1}};
        log.put("a", "1");
        log.when_stored([this] { loop.stop(); });
    });
    run();
    EXPECT_EQ(store.newest_of("keyed.t", 0).at("a"), "1");
    EXPECT_EQ(store.appends, 5);
}

}  // namespace
}  // namespace waxwingnotch
