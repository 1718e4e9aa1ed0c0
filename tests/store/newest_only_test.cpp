/// Tests of a keyed follower that skips older versions of a large record, as of the configuration.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/store/keyed_follower.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace waxwingnotch {
namespace {

constexpr const char* topic = "keyed.op";
constexpr std::size_t version_bytes = 290'000;  // a configuration with 1,300 routes
constexpr std::size_t small_bytes = 300;
constexpr std::size_t test_answer_kb = 16;
constexpr std::int64_t test_timeout_ms = 20'000;

/// A value that names its place among the appended ones.
std::string value_of(int serial, std::size_t bytes)
{
    std::string value = std::to_string(serial) + " ";
    value.resize(std::max(bytes, value.size()), 'x');
    return value;
}

int serial_of(const keyed_record& record)
{
    return record.value ? std::stoi(*record.value) : 0;
}

class newest_only_test : public testing::Test {
protected:
    newest_only_test()
    {
        append("config", version_bytes);
        append("wave/1", small_bytes);
    }
    void append(const std::string& key, std::size_t bytes)
    {
        add({.key = key, .value = value_of(++serial_, bytes)});
    }
    void remove(const std::string& key) { add({.key = key, .value = std::nullopt}); }
    /// Starts a follower and runs the loop until it has read all records.
    /// @param when_loaded called once after the first load
    void follow(const std::function<void()>& when_loaded)
    {
        keyed_follower follower(loop, store, options(),
                                {.record = [this](const keyed_record& record) { note(record); },
                                 .after_read =
                                     [&] {
                                         if (!std::exchange(loaded_, true)) {
                                             store.bytes_read = 0;
                                             when_loaded();
                                         }
                                     }});
        const timer check = loop.every(1, [&] {
            const bool complete = loaded_ && follower.next_offset() == end() && newest() == seen();
            if (complete && held_back_ == 0) {
                loop.stop();
            }
        });
        const timer guard = loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "not all newest records were read";
            loop.stop();
        });
        follower.start();
        loop.run();
    }
    follow_options options() const
    {
        return {.topic = topic,
                .long_poll_ms = 1,
                .max_answer_kb = test_answer_kb,
                .newest_only_key = newest_only_key};
    }
    std::int64_t end() { return static_cast<std::int64_t>(store.partitions[{topic, 0}].records.size()); }
    std::map<std::string, std::string> newest() { return store.newest_of(topic, 0); }
    std::map<std::string, std::string> seen() const { return seen_; }
    /// Serial numbers of the values of a key in the order in which they were handed over; 0: deleted.
    std::vector<int> serials(const std::string& key) { return serials_[key]; }
    /// Keeps follow() from ending before the test has appended all that it wants to.
    void hold_back(int count) { held_back_ = count; }
    void release() { --held_back_; }

    event_loop loop;
    fake_store store{loop};
    std::string newest_only_key = "config";

private:
    void add(keyed_record record)
    {
        auto& records = store.partitions[{topic, 0}].records;
        record.offset = end();
        records.push_back(std::move(record));
    }
    void note(const keyed_record& record)
    {
        serials_[record.key].push_back(serial_of(record));
        if (record.value) {
            seen_[record.key] = *record.value;
        }
        else {
            seen_.erase(record.key);
        }
    }

    int serial_ = 0;
    int held_back_ = 0;
    bool loaded_ = false;
    std::map<std::string, std::string> seen_;
    std::map<std::string, std::vector<int>> serials_;
};

// A node at 2 Mbit/s read each version of 290 KB, 1.2 s each, and was 22 s behind after a storm of 6 s.
TEST_F(newest_only_test, only_the_newest_of_ten_large_versions_is_read)
{
    follow([&] {
        for (int version = 0; version < 10; ++version) {
            append("config", version_bytes);
        }
    });
    EXPECT_LE(store.bytes_read, version_bytes + 10 * small_bytes);
}

// Versions that are stored while one is being read made the answers to the next reads larger and later.
TEST_F(newest_only_test, versions_stored_during_a_read_cost_one_copy_together)
{
    constexpr int bursts = 5;
    hold_back(bursts);
    std::size_t bytes_before = 0;
    int left = bursts;
    store.before_read = [&](const read_request&) {
        // A large answer has been read since the latest burst.
        if (left > 0 && store.bytes_read >= bytes_before + version_bytes) {
            bytes_before = store.bytes_read;
            --left;
            release();
            for (int version = 0; version < 4; ++version) {
                append("config", version_bytes);
            }
        }
    };
    follow([&] { append("config", version_bytes); });
    EXPECT_LE(store.bytes_read, (bursts + 1) * (version_bytes + 10 * small_bytes));
}

// A record that was known to be there was read 150 ms later, an eighth of the time that it takes.
TEST_F(newest_only_test, a_large_version_is_read_without_a_pause)
{
    std::vector<bool> at_once;
    store.before_read = [&](const read_request& request) {
        if (request.max_kb > static_cast<std::int64_t>(test_answer_kb)) {
            at_once.push_back(store.handling_answer);
        }
    };
    follow([&] { append("config", version_bytes); });
    EXPECT_FALSE(at_once.empty());
    EXPECT_TRUE(std::ranges::all_of(at_once, [](bool value) { return value; }));
}

// A version that is much larger than the one before does not fit the answer that is asked for.
TEST_F(newest_only_test, a_version_that_has_grown_is_read)
{
    follow([&] { append("config", 3 * version_bytes); });
    EXPECT_EQ(serials("config"), (std::vector<int>{1, 3}));
}

// An answer with room for several versions brings those that were stored while the call waited for the link.
TEST_F(newest_only_test, versions_stored_before_the_read_arrives_are_not_read_with_it)
{
    bool done = false;
    hold_back(1);
    store.before_read = [&](const read_request& request) {
        if (request.max_kb > static_cast<std::int64_t>(test_answer_kb) && !std::exchange(done, true)) {
            release();
            append("config", version_bytes);
            append("config", version_bytes);
        }
    };
    follow([&] { append("config", version_bytes); });
    EXPECT_LE(store.bytes_read, 2 * version_bytes + 10 * small_bytes);
}

// A wave between two versions was lost with the versions that were skipped, and its machines never had their
// upkeep.
TEST_F(newest_only_test, a_wave_between_skipped_versions_is_handed_over)
{
    follow([&] {
        append("config", version_bytes);
        append("wave/2", small_bytes);
        append("config", version_bytes);
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("wave/2").size(), 1U);
    EXPECT_EQ(serials("config"), (std::vector<int>{1, 6}));
    EXPECT_LE(store.bytes_read, version_bytes + 10 * small_bytes);
}

// A wave that does not fit a small answer is no version of the configuration.
TEST_F(newest_only_test, a_large_wave_between_skipped_versions_is_handed_over)
{
    follow([&] {
        append("config", version_bytes);
        append("wave/2", 2 * test_answer_kb * 1'024);
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("wave/2").size(), 1U);
}

// The newest record is not always a version of the configuration.
TEST_F(newest_only_test, a_version_before_waves_is_handed_over)
{
    follow([&] {
        append("config", version_bytes);
        append("config", version_bytes);
        append("wave/2", small_bytes);
        append("wave/3", small_bytes);
    });
    EXPECT_EQ(serials("config"), (std::vector<int>{1, 4}));
    EXPECT_EQ(serials("wave/2").back(), 5);
    EXPECT_EQ(serials("wave/3").back(), 6);
    EXPECT_LE(store.bytes_read, version_bytes + 10 * small_bytes);
}

TEST_F(newest_only_test, a_deletion_between_skipped_versions_is_handed_over)
{
    follow([&] {
        append("config", version_bytes);
        remove("wave/1");
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("wave/1"), (std::vector<int>{2, 0}));
}

// The load after a skip is newer than the records that the next read begins with.
TEST_F(newest_only_test, an_older_value_never_follows_a_newer_one)
{
    int loads = 0;
    store.before_read_newest = [&](const std::string&) {
        if (++loads == 2) {
            append("wave/1", small_bytes);  // 5
            append("wave/2", small_bytes);  // 6
            append("wave/1", small_bytes);  // 7, the newest in the page
            remove("wave/2");
        }
    };
    follow([&] {
        append("config", version_bytes);
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("wave/1"), (std::vector<int>{2, 7}));
    EXPECT_TRUE(serials("wave/2").empty());
}

// A version that is stored during the load after a skip must not be taken for loaded: the load leaves the
// configuration out.
TEST_F(newest_only_test, a_version_stored_during_the_load_after_a_skip_is_read)
{
    int loads = 0;
    store.before_read_newest = [&](const std::string&) {
        if (++loads == 2) {
            append("config", version_bytes);
        }
    };
    follow([&] {
        append("config", version_bytes);
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("config"), (std::vector<int>{1, 4, 5}));
}

// The operator's records may be dropped at any time.
TEST_F(newest_only_test, history_dropped_between_the_answer_and_the_read_of_the_newest_version)
{
    bool dropped = false;
    store.before_read = [&](const read_request& request) {
        if (request.max_kb > static_cast<std::int64_t>(test_answer_kb) && !std::exchange(dropped, true)) {
            append("wave/2", small_bytes);
            append("config", version_bytes);
            store.drop_history(topic, 0);
        }
    };
    follow([&] {
        append("config", version_bytes);
        append("config", version_bytes);
    });
    EXPECT_TRUE(dropped);
    EXPECT_EQ(serials("config").back(), 6);
    EXPECT_EQ(serials("wave/2").size(), 1U);
}

TEST_F(newest_only_test, history_dropped_during_the_load_after_a_skip)
{
    int loads = 0;
    store.before_read_newest = [&](const std::string&) {
        if (++loads == 2) {
            append("config", version_bytes);
            store.drop_history(topic, 0);
        }
    };
    follow([&] {
        append("config", version_bytes);
        append("wave/2", small_bytes);
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("config").back(), 6);
    EXPECT_EQ(serials("wave/2").back(), 4);
}

// What a store does with a record that does not fit is not in its contract.
TEST_F(newest_only_test, a_store_that_hands_over_a_record_that_does_not_fit)
{
    store.ignore_size_of_first_record = true;
    follow([&] {
        append("config", version_bytes);
        append("wave/2", small_bytes);
        for (int version = 0; version < 8; ++version) {
            append("config", version_bytes);
        }
    });
    EXPECT_EQ(serials("wave/2").size(), 1U);
    EXPECT_LE(store.bytes_read, 3 * version_bytes);
}

TEST_F(newest_only_test, a_read_of_the_newest_version_that_is_refused_is_repeated)
{
    bool refused = false;
    store.before_read = [&](const read_request& request) {
        if (request.max_kb > static_cast<std::int64_t>(test_answer_kb) && !std::exchange(refused, true)) {
            store.refused_reads[{topic, 0}] = 1;
        }
    };
    follow([&] {
        append("config", version_bytes);
        append("wave/2", small_bytes);
        append("config", version_bytes);
    });
    EXPECT_TRUE(refused);
    EXPECT_EQ(serials("wave/2").size(), 1U);
}

// Small records are read in order: a load would cost as much as they do, and a large version besides.
TEST_F(newest_only_test, a_backlog_of_small_records_is_read_in_order)
{
    constexpr int records = 200;
    follow([&] {
        for (int number = 0; number < records; ++number) {
            append("wave/7", small_bytes);
        }
    });
    EXPECT_EQ(serials("wave/7").size(), static_cast<std::size_t>(records));
}

// Other topics need each record: skipping is an option.
TEST_F(newest_only_test, without_the_option_each_record_is_handed_over)
{
    newest_only_key.clear();
    follow([&] {
        append("config", version_bytes);
        append("config", version_bytes);
        append("config", version_bytes);
    });
    EXPECT_EQ(serials("config"), (std::vector<int>{1, 3, 4, 5}));
}

// All mixes of versions, waves, deletions, refusals and dropped history end with the newest values, and no
// key goes back to an older one on the way.
RC_GTEST_FIXTURE_PROP(newest_only_test, the_newest_values_are_handed_over_and_none_goes_back, ())
{
    const auto change = [this] {
        const auto kind = *rc::gen::inRange(0, 20);
        const std::string wave = "wave/" + std::to_string(*rc::gen::inRange(1, 4));
        if (kind < 9) {
            append("config", *rc::gen::element(small_bytes, version_bytes, 2 * version_bytes));
        }
        else if (kind < 15) {
            append(wave, *rc::gen::element(small_bytes, 2 * test_answer_kb * 1'024));
        }
        else if (kind < 17) {
            remove(wave);
        }
        else if (kind < 19) {
            store.refused_reads[{topic, 0}] = 1;
        }
        else {
            store.drop_history(topic, 0);
        }
    };
    const auto some_changes = [&change] {
        const auto count = *rc::gen::inRange(0, 5);
        for (int number = 0; number < count; ++number) {
            change();
        }
    };
    store.ignore_size_of_first_record = *rc::gen::arbitrary<bool>();
    int left = *rc::gen::inRange(1, 12);
    hold_back(1);
    const auto act = [&] {
        if (left > 0) {
            some_changes();
            if (--left == 0) {
                release();
            }
        }
    };
    store.before_read = [&](const read_request&) {
        act();
    };
    store.before_read_newest = [&](const std::string&) {
        act();
    };
    follow([] {});
    RC_ASSERT(newest() == seen());
    for (const char* key : {"config", "wave/1", "wave/2", "wave/3"}) {
        int newest_serial = 0;
        for (const int serial : serials(key)) {
            RC_ASSERT(serial == 0 || serial >= newest_serial);
            newest_serial = std::max(newest_serial, serial);
        }
    }
}

}  // namespace
}  // namespace waxwingnotch
