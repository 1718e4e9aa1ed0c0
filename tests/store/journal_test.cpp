/// Tests of the answers that a journal gets, and of writers that share an epoch.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/store/journal.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
    static journal::options claiming_options(const std::string& claim)
    {
        journal::options claiming = options(true);
        claiming.claim_key = "~claim";
        claiming.claim_value = claim;
        return claiming;
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

// Two writers of one epoch began with the same sequence number: the store answered the second one's appends
// as repeats, and with as many records in each batch both took all of theirs for stored.
TEST_F(journal_test, second_writer_of_an_epoch_is_lost_before_it_opens)
{
    bool lost = false;
    bool stored = false;
    bool opened = false;
    journal first(loop, store, claiming_options("first"), [] { FAIL(); });
    journal second(loop, store, claiming_options("second"), [&] { lost = true; });
    first.open([&] {
        first.put("a", "1");
        first.when_stored([&] { stored = true; });
    });
    second.open([&] { opened = true; });
    const timer check = loop.every(1, [&] {
        if (lost && stored) {
            loop.stop();
        }
    });
    run();
    EXPECT_FALSE(opened);
    EXPECT_EQ(store.newest_of("keyed.t", 0),
              (std::map<std::string, std::string>{{"a", "1"}, {"~claim", "first"}}));
}

// A claim whose answer was lost must not count as another writer's when it is repeated.
TEST_F(journal_test, claim_is_repeated_after_a_lost_answer)
{
    journal log(loop, store, claiming_options("first"), [] { FAIL(); });
    store.lose_answers = 1;
    log.open([&] {
        log.put("a", "1");
        log.when_stored([this] { loop.stop(); });
    });
    run();
    EXPECT_EQ(store.appends, 3);
    EXPECT_EQ(log.end_offset(), 2);
}

/// A writer and the keys of the records on which it has acted.
struct acting_writer {
    std::unique_ptr<journal> log;
    int puts = 0;
    bool lost = false;
    std::vector<std::string> acted;
};

// The same as second_writer_of_an_epoch_is_lost_before_it_opens, for any order of calls and with lost
// answers.
RC_GTEST_FIXTURE_PROP(journal_test, one_writer_of_a_shared_epoch_acts_and_only_on_stored_records, ())
{
    constexpr std::int64_t span_ms = 6;  // in which the writers open and put their records
    std::vector<acting_writer> writers(*rc::gen::inRange<std::size_t>(2, 4));
    std::vector<timer> calls;
    store.lose_answers = *rc::gen::inRange(0, 3);
    for (std::size_t number = 0; number < writers.size(); ++number) {
        acting_writer& writer = writers[number];
        const std::string name = "w" + std::to_string(number);
        writer.log =
            std::make_unique<journal>(loop, store, claiming_options(name), [&writer] { writer.lost = true; });
        calls.push_back(
            loop.after(*rc::gen::inRange<std::int64_t>(0, span_ms), [&writer] { writer.log->open([] {}); }));
        writer.puts = *rc::gen::inRange(1, 4);
        for (int put = 0; put < writer.puts; ++put) {
            const std::string key = name + "/" + std::to_string(put);
            calls.push_back(loop.after(*rc::gen::inRange<std::int64_t>(0, span_ms), [&writer, key] {
                writer.log->put(key, "1");
                writer.log->when_stored([&writer, key] { writer.acted.push_back(key); });
            }));
        }
    }
    const timer check = loop.every(1, [&] {
        if (std::all_of(writers.begin(), writers.end(), [](const acting_writer& writer) {
                return writer.lost || static_cast<int>(writer.acted.size()) == writer.puts;
            })) {
            loop.stop();
        }
    });
    run();
    const std::map<std::string, std::string> stored = store.newest_of("keyed.t", 0);
    int acting = 0;
    for (const acting_writer& writer : writers) {
        acting += writer.acted.empty() ? 0 : 1;
        for (const std::string& key : writer.acted) {
            RC_ASSERT(stored.contains(key));
        }
    }
    RC_ASSERT(acting == 1);
}

// The refusal of one record was taken for the loss of the partition: each owner of the shard ended, and the
// next one wrote the same record. See review/6.
TEST_F(journal_test, a_record_that_the_store_rejects_does_not_end_the_writer)
{
    journal::options with_limit = options(true);
    std::vector<std::string> refused;
    with_limit.on_refused = [&](const std::string& key) {
        refused.push_back(key);
    };
    store.most_record_bytes = 1'000;
    store.invalid_key = "k17";
    bool acted = false;
    journal writer(loop, store, with_limit, [] { FAIL(); });
    writer.open([&] {
        for (int number = 10; number < 40; ++number) {
            writer.put("k" + std::to_string(number), std::string(number == 31 ? 2'000 : 20, 'v'));
        }
        writer.when_stored([&] {
            EXPECT_EQ(refused.size(), 2U);
            acted = true;
            loop.stop();
        });
    });
    run();
    EXPECT_TRUE(acted);
    std::sort(refused.begin(), refused.end());
    EXPECT_EQ(refused, (std::vector<std::string>{"k17", "k31"}));
    EXPECT_EQ(store.newest_of("keyed.t", 0).size(), 29U);  // 28 and the probe record
}

TEST_F(journal_test, a_record_longer_than_the_limit_is_not_sent)
{
    journal::options with_limit = options(true);
    std::vector<std::string> refused;
    with_limit.on_refused = [&](const std::string& key) {
        refused.push_back(key);
    };
    with_limit.max_record_bytes = 100;
    journal writer(loop, store, with_limit, [] { FAIL(); });
    writer.open([&] {
        writer.put("a", std::string(98, 'v'));
        writer.put("b", std::string(99, 'v'));
        writer.when_stored([&] { loop.stop(); });
    });
    run();
    EXPECT_EQ(refused, std::vector<std::string>{"b"});
    EXPECT_TRUE(store.newest_of("keyed.t", 0).contains("a"));
}

// A store that rejects every append refuses this writer, not its records, which would all be dropped.
TEST_F(journal_test, a_writer_whose_probe_is_rejected_is_lost)
{
    journal::options without_records = options(true);
    without_records.on_refused = [](const std::string&) {
        FAIL();
    };
    bool lost = false;
    journal writer(loop, store, without_records, [&] {
        lost = true;
        loop.stop();
    });
    writer.open([&] {
        store.most_record_bytes = 0;
        writer.put("a", "1");
        writer.when_stored([] { FAIL(); });
    });
    run();
    EXPECT_TRUE(lost);
}

// A later part of a progress is stored with or before the earlier one that it shortens.
TEST_F(journal_test, higher_keys_are_stored_first)
{
    journal::options with_limit = options(true);
    with_limit.max_record_bytes = 1'000'000;
    journal writer(loop, store, with_limit, [] { FAIL(); });
    writer.open([&] {
        for (const char* key : {"b", "c", "a"}) {
            writer.put(key, std::string(600'000, 'v'));
        }
        writer.when_stored([&] { loop.stop(); });
    });
    run();
    const auto& records = store.partitions[{"keyed.t", 0}].records;
    ASSERT_EQ(records.size(), 3U);
    EXPECT_EQ(records[0].key, "c");
    EXPECT_EQ(records[2].key, "a");
}

}  // namespace
}  // namespace waxwingnotch
