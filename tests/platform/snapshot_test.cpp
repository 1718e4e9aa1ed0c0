#include "platform/fake_log.hpp"

#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/platform/log_follower.hpp"
#include "waxwingnotch/platform/log_keeper.hpp"
#include "waxwingnotch/platform/snapshot_loader.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retention_ms = 1'000'000;

/// A node that consists of a copy of the state and a snapshot keeper.
struct node {
    node(fake_log& log_in, std::string name_in) : log(log_in), name(std::move(name_in)) {}

    void fold()
    {
        while (state.next_offset < static_cast<std::int64_t>(log.entries.size())) {
            apply(state, log.entries[static_cast<std::size_t>(state.next_offset)]);
        }
    }
    /// Appends and settles the oldest proposal of the keeper.
    void append_one()
    {
        auto [item, done] = std::move(proposed.front());
        proposed.pop_front();
        log.append(name, ++seq, std::move(item));
        fold();
        done({true, ""});
    }
    void write_snapshot()
    {
        fold();
        keeper.tick();
        while (!proposed.empty()) {
            append_one();
        }
    }

    fake_log& log;
    std::string name;
    std::int64_t seq = 0;
    std::int64_t now = 2'000;
    bool owner = true;
    fleet_state state;
    std::deque<std::pair<record, proposal_handler>> proposed;
    log_keeper keeper{{name, 1, retention_ms},
                      {[this]() -> const fleet_state& { return state; },
                       [this](std::string_view) { return owner; }, [] { return true; },
                       [this](record item, proposal_handler done) {
                           proposed.emplace_back(std::move(item), std::move(done));
                       },
                       [this] {
                           return now;
                       }}};
};

class snapshots : public ::testing::Test {
protected:
    void SetUp() override
    {
        publish_record item;
        item.kind = document::rules;
        item.content = rules_to_json({});
        item.content_hash = sha256_hex(item.content);
        // The state contains the note twice, once in an audit entry, so that a snapshot has three chunks.
        item.note = std::string(snapshot_chunk_bytes, 'n');
        log.append("op", 1, item);
    }

    void add_claims(int count)
    {
        for (; count > 0; --count) {
            const std::string key = std::to_string(log.entries.size());
            log.append("c", ++claims, claim_record{key, key});
        }
    }

    /// Loads a snapshot, folds the records after it and compares with a fold of the whole log.
    void expect_loaded(std::int64_t up_to)
    {
        auto loaded = load();
        ASSERT_TRUE(loaded) << loaded.error().message;
        EXPECT_EQ(loaded.value().next_offset, up_to);
        node from_snapshot(log, "x");
        from_snapshot.state = std::move(loaded.value());
        from_snapshot.fold();
        node whole(log, "x");
        whole.fold();
        EXPECT_EQ(encode_state(from_snapshot.state), encode_state(whole.state));
    }

    result<fleet_state> load()
    {
        result<fleet_state> outcome = fail(error_code::io, "did not run");
        snapshot_loader loader(client, log.address);
        loader.load([&](result<fleet_state> state) {
            outcome = std::move(state);
            loop.stop();
        });
        loop.run();
        return outcome;
    }

    event_loop loop;
    http_client client{loop};
    fake_log log{loop};
    std::int64_t claims = 0;
    node writer{log, "a"};
};

}  // namespace

// Guards against a node that cannot restart once retention has removed the first records, and against a
// search that stops after one page.
TEST_F(snapshots, a_node_starts_from_the_newest_snapshot_after_an_outage_beyond_retention)
{
    add_claims(10);
    writer.write_snapshot();
    add_claims(10);
    writer.now += retention_ms / 4;
    writer.write_snapshot();
    ASSERT_EQ(writer.state.snapshot.up_to, 25);
    add_claims(3 * snapshot_loader::page_entries);
    log.first_kept = 20;
    expect_loaded(25);
}

// Guards against a search for a snapshot while offset 0 is still kept.
TEST_F(snapshots, a_log_that_keeps_offset_0_is_read_from_there)
{
    writer.write_snapshot();
    expect_loaded(0);
}

// Guards against loading an incomplete or corrupt snapshot.
TEST_F(snapshots, incomplete_and_corrupt_snapshots_are_skipped)
{
    add_claims(10);
    writer.write_snapshot();
    const std::int64_t valid_up_to = writer.state.snapshot.up_to;
    const auto up_to = static_cast<std::int64_t>(log.entries.size());
    const std::string bytes = encode_state(writer.state);
    auto chunks = split_snapshot("b-1", bytes);
    ASSERT_EQ(chunks.size(), 3U);
    log.append("b", 1, chunks[0]);
    log.append("b", 2, chunks[2]);
    log.append("b", 3, make_snapshot_done("b-1", bytes, up_to, up_to));
    chunks[1].bytes[9] ^= 1;  // in the note: the state can be decoded, but differs from the written one
    const std::int64_t first = log.append("b", 4, chunks[0]);
    log.append("b", 5, chunks[1]);
    log.append("b", 6, chunks[2]);
    log.append("b", 7, make_snapshot_done("b-1", bytes, up_to, first));
    const std::int64_t other = log.append("d", 1, snapshot_chunk{"d-1", 0, "not a state"});
    log.append("d", 2, make_snapshot_done("d-1", "not a state", other, other));
    log.append("d", 3, snapshot_done{"d-2", other, other, 1, "wrong hash"});
    log.append("d", 4, snapshot_done{"d-3", 1, 1 << 30, 1 << 30, ""});
    log.first_kept = 1;
    expect_loaded(valid_up_to);
}

// Guards against a missing snapshot after the node that was writing one has died.
TEST_F(snapshots, the_next_owner_writes_a_snapshot_when_the_writer_dies)
{
    node second(log, "b");
    writer.fold();
    writer.keeper.tick();
    writer.append_one();  // one of three chunks; then the writer dies
    second.write_snapshot();
    EXPECT_EQ(second.state.snapshot.id, "b-1-1");
    log.first_kept = 1;
    expect_loaded(second.state.snapshot.up_to);
}

// Guards against a follower that waits forever for an offset that is no longer kept.
TEST_F(snapshots, a_follower_continues_from_a_snapshot_after_its_next_offset_is_gone)
{
    add_claims(100);
    writer.write_snapshot();
    add_claims(100);
    log.first_kept = 50;
    fleet_state state;
    apply(state, log.entries.front());
    snapshot_loader loader(client, log.address);
    std::unique_ptr<log_follower> follower;
    const auto on_entries = [&](std::span<const log_entry> entries) {
        for (const log_entry& entry : entries) {
            apply(state, entry);
        }
        if (state.next_offset == static_cast<std::int64_t>(log.entries.size())) {
            follower->stop();
            loop.stop();
        }
    };
    const auto on_offset_gone = [&](std::int64_t first_kept) {
        EXPECT_EQ(first_kept, 50);
        if (!loader.busy()) {
            loader.load([&](result<fleet_state> loaded) { state = std::move(loaded.value()); });
        }
    };
    follower = std::make_unique<log_follower>(
        loop, client, log.address,
        follower_handlers{[&] { return state.next_offset; }, on_entries, on_offset_gone});
    follower->start();
    loop.run();
    node whole(log, "x");
    whole.fold();
    EXPECT_EQ(encode_state(state), encode_state(whole.state));
}

// Guards against a search that never ends, or that ends with an error other than `not_found`, when retention
// removes records during the search.
TEST_F(snapshots, a_search_ends_when_retention_removes_records_during_it)
{
    writer.write_snapshot();
    add_claims(2 * snapshot_loader::page_entries);
    log.first_kept = 1;
    log.trim_at_read = 2;
    log.trim_to = 100;
    const auto outcome = load();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().code, error_code::not_found);
}

// Guards against snapshots that are written too often, by every node instead of the owner, or never while
// the log is idle.
TEST_F(snapshots, are_due_by_offsets_or_age_and_written_by_the_owner_only)
{
    writer.owner = false;
    writer.write_snapshot();
    EXPECT_EQ(writer.state.snapshot.up_to, -1);
    writer.owner = true;
    writer.write_snapshot();
    const fleet_state& state = writer.state;
    const std::int64_t written = state.snapshot.appended_at;
    EXPECT_FALSE(snapshot_due(state, written + retention_ms / 4 - 1, retention_ms));
    EXPECT_TRUE(snapshot_due(state, written + retention_ms / 4, retention_ms));
    fleet_state later = state;
    later.next_offset = state.snapshot.up_to + log_keeper::snapshot_interval_offsets;
    EXPECT_TRUE(snapshot_due(later, written, retention_ms));
    EXPECT_FALSE(snapshot_due({}, written, retention_ms));
}

}  // namespace waxwingnotch
