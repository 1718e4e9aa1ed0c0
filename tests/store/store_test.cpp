/// Tests of journal, batch appender, keyed follower and the transport's relay through peers.
#include "fakes/fake_store.hpp"

#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/store/batch_appender.hpp"
#include "waxwingnotch/store/journal.hpp"
#include "waxwingnotch/store/keyed_follower.hpp"
#include "waxwingnotch/store/transport.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 20'000;

class store_test : public testing::Test {
protected:
    /// Runs the loop until a handler stops it; fails the test after test_timeout_ms.
    void run()
    {
        timeout_ = loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "the test timed out";
            loop.stop();
        });
        loop.run();
        timeout_.cancel();
    }
    journal::options journal_options(std::int64_t epoch) const
    {
        return {.topic = "keyed.t",
                .partition = 0,
                .writer = "owner",
                .epoch = epoch,
                .min_append_interval_ms = 1};
    }

    event_loop loop;
    fake_store store{loop};

private:
    timer timeout_;
};

TEST_F(store_test, journal_batches_the_newest_value_of_each_key)
{
    journal log(loop, store, journal_options(1), [] { FAIL(); });
    log.put("a", "1");
    log.put("a", "2");
    log.put("b", "3");
    log.when_stored([this] { loop.stop(); });
    log.open([] {});
    run();
    EXPECT_EQ(store.newest_of("keyed.t", 0), (std::map<std::string, std::string>{{"a", "2"}, {"b", "3"}}));
    EXPECT_EQ(store.appends, 2);  // one that registers the epoch, one with both keys
}

TEST_F(store_test, journal_retries_an_append_whose_answer_was_lost)
{
    journal log(loop, store, journal_options(1), [] { FAIL(); });
    log.open([&] {
        store.lose_answers = 2;
        log.put("a", "1");
        log.when_stored([this] { loop.stop(); });
    });
    run();
    EXPECT_EQ((store.partitions[{"keyed.t", 0}].records.size()), 1U);
    EXPECT_EQ(store.appends, 4);
}

TEST_F(store_test, journal_retries_while_the_store_refuses)
{
    journal log(loop, store, journal_options(1), [] { FAIL(); });
    timer recovery;
    log.open([&] {
        store.refuse = true;
        log.put("a", "1");
        log.when_stored([this] { loop.stop(); });
        recovery = loop.after(200, [this] { store.refuse = false; });
    });
    run();
    EXPECT_EQ(store.newest_of("keyed.t", 0).at("a"), "1");
    EXPECT_EQ(log.stalled_since_ms(), 0);
}

TEST_F(store_test, fenced_journal_writes_nothing)
{
    bool lost = false;
    journal first(loop, store, journal_options(1), [&] {
        lost = true;
        loop.stop();
    });
    journal second(loop, store, journal_options(2), [] { FAIL(); });
    first.open([&] { second.open([&] { first.put("a", "old"); }); });
    run();
    EXPECT_TRUE(lost);
    EXPECT_TRUE(store.newest_of("keyed.t", 0).empty());
}

// Guards against one append per submission: a slow partition processed them one after the other until it
// refused further ones.
TEST_F(store_test, appender_batches_waiting_records)
{
    batch_appender appender(store, "keyed.t", 0);
    int done = 0;
    for (const char* key : {"a", "b", "c", "d"}) {
        appender.append({.key = key, .value = "1"}, [&](store_status outcome) {
            EXPECT_EQ(outcome, store_status::ok);
            if (++done == 4) {
                loop.stop();
            }
        });
    }
    run();
    EXPECT_EQ(store.newest_of("keyed.t", 0).size(), 4U);
    EXPECT_EQ(store.appends, 2);  // the first record alone, then the other three together
}

// Guards against waiting for an append that hangs: one on a dead connection blocked all later submissions to
// the shard for seconds.
TEST_F(store_test, appender_sends_while_an_append_hangs)
{
    batch_appender appender(store, "keyed.t", 0);
    store.hang_appends = 1;
    appender.append({.key = "a", .value = "1"}, [](store_status) { FAIL(); });
    const timer later = loop.after(450, [&] {
        appender.append({.key = "b", .value = "1"}, [this](store_status outcome) {
            EXPECT_EQ(outcome, store_status::ok);
            loop.stop();
        });
    });
    run();
    EXPECT_EQ(store.appends, 2);
}

// One submission that the store does not take made those of other callers fail that waited with it.
TEST_F(store_test, appender_rejects_only_the_record_that_is_too_long)
{
    batch_appender appender(store, "keyed.t", 0);
    store.most_record_bytes = 1'000;
    std::map<std::string, store_status> outcomes;
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        appender.append({.key = key, .value = std::string(*key == 'c' ? 2'000 : 1, 'v')},
                        [&, key](store_status outcome) {
                            outcomes[key] = outcome;
                            if (outcomes.size() == 5) {
                                loop.stop();
                            }
                        });
    }
    run();
    EXPECT_EQ(outcomes["c"], store_status::rejected);
    EXPECT_EQ(store.newest_of("keyed.t", 0).size(), 4U);
    for (const char* key : {"a", "b", "d", "e"}) {
        EXPECT_EQ(outcomes[key], store_status::ok);
    }
}

TEST_F(store_test, appender_reports_the_status_of_each_append)
{
    batch_appender appender(store, "keyed.t", 0);
    store.refuse = true;
    appender.append({.key = "a", .value = "1"}, [&](store_status outcome) {
        EXPECT_EQ(outcome, store_status::refused);
        store.refuse = false;
        appender.append({.key = "b", .value = "1"}, [&](store_status second) {
            EXPECT_EQ(second, store_status::ok);
            loop.stop();
        });
    });
    run();
}

// Guards against running actions without a confirmation by the store: a fenced owner confirmed ends of runs
// that it did not know, the newer owner never saw these ends, and the tasks ran twice.
TEST_F(store_test, fenced_journal_runs_no_action_even_without_values)
{
    bool acted = false;
    journal first(loop, store, journal_options(1), [&] { loop.stop(); });
    journal second(loop, store, journal_options(2), [] { FAIL(); });
    first.open([&] { second.open([&] { first.when_stored([&] { acted = true; }); }); });
    run();
    EXPECT_FALSE(acted);
}

struct follower_state {
    std::map<std::string, std::string> values;
    int reads = 0;
};

keyed_follower::handlers record_into(follower_state& seen, std::function<void()> after_read)
{
    return {.record =
                [&seen](const keyed_record& record) {
                    if (record.value) {
                        seen.values[record.key] = *record.value;
                    }
                    else {
                        seen.values.erase(record.key);
                    }
                },
            .after_read =
                [&seen, after_read = std::move(after_read)] {
                    ++seen.reads;
                    after_read();
                }};
}

append_request unfenced_append(const std::string& key, std::optional<std::string> value)
{
    return {.topic = "keyed.t", .partition = 0, .records = {{.key = key, .value = std::move(value)}}};
}

// The answer grew with each read that timed out on a slow host, and the registrations stood still for
// seconds.
TEST_F(store_test, follower_that_has_fallen_behind_catches_up_by_small_answers)
{
    constexpr int count = 400;
    append_request backlog{.topic = "keyed.t", .records = {}};
    for (int number = 0; number < count; ++number) {
        backlog.records.push_back({.key = "k" + std::to_string(number), .value = std::string(1'000, 'x')});
    }
    store.most_read_bytes = 100'000;
    follower_state seen;
    bool filled = false;
    keyed_follower follower(loop, store, {.topic = "keyed.t", .read_interval_ms = 1}, record_into(seen, [&] {
                                if (!std::exchange(filled, true)) {
                                    store.append(backlog, [](const append_result&) {});
                                }
                                if (seen.values.size() == count) {
                                    loop.stop();
                                }
                            }));
    follower.start();
    run();
    EXPECT_EQ(follower.next_offset(), count);
}

// A record that is larger than the usual answer would never be read.
TEST_F(store_test, follower_reads_a_record_that_is_larger_than_its_answers)
{
    follower_state seen;
    bool filled = false;
    keyed_follower follower(loop, store, {.topic = "keyed.t", .read_interval_ms = 1}, record_into(seen, [&] {
                                if (!std::exchange(filled, true)) {
                                    store.append(
                                        {.topic = "keyed.t",
                                         .records = {{.key = "large", .value = std::string(200'000, 'x')},
                                                     {.key = "b", .value = "1"}}},
                                        [](const append_result&) {});
                                }
                                if (seen.values.size() == 2) {
                                    loop.stop();
                                }
                            }));
    follower.start();
    run();
    EXPECT_EQ(follower.next_offset(), 2);
}

TEST_F(store_test, follower_reads_all_pages_and_then_new_records)
{
    store.page_size = 2;
    for (const char* key : {"a", "b", "c", "d", "e"}) {
        store.append(unfenced_append(key, "1"), [](const append_result&) {});
    }
    follower_state seen;
    keyed_follower follower(loop, store, {.topic = "keyed.t", .read_interval_ms = 1}, record_into(seen, [&] {
                                if (seen.reads == 1) {
                                    EXPECT_EQ(seen.values.size(), 5U);
                                    store.append(unfenced_append("a", std::nullopt),
                                                 [](const append_result&) {});
                                    store.append(unfenced_append("f", "2"), [](const append_result&) {});
                                }
                                if (seen.values.contains("f")) {
                                    loop.stop();
                                }
                            }));
    follower.start();
    run();
    EXPECT_FALSE(seen.values.contains("a"));
    EXPECT_EQ(seen.values.size(), 5U);
}

TEST_F(store_test, follower_reloads_after_the_history_was_dropped)
{
    follower_state seen;
    store.append(unfenced_append("a", "1"), [](const append_result&) {});
    store.append(unfenced_append("gone", "1"), [](const append_result&) {});
    keyed_follower follower(loop, store, {.topic = "keyed.t", .read_interval_ms = 1}, record_into(seen, [&] {
                                if (seen.reads == 1) {
                                    // The next read starts below the first kept offset, so it misses both
                                    // changes.
                                    store.append(unfenced_append("gone", std::nullopt),
                                                 [](const append_result&) {});
                                    store.append(unfenced_append("a", "2"), [](const append_result&) {});
                                    store.drop_history("keyed.t", 0);
                                }
                                if (seen.values["a"] == "2") {
                                    loop.stop();
                                }
                            }));
    follower.start();
    run();
    EXPECT_FALSE(seen.values.contains("gone"));
}

// A reload from an older page reported the keys that the page lacks as deleted: ended jobs were forgotten,
// and started again when their records came back.
TEST_F(store_test, follower_reports_no_deletion_from_an_older_page)
{
    follower_state seen;
    store.append(unfenced_append("a", "1"), [](const append_result&) {});
    bool deleted = false;
    keyed_follower::handlers handlers = record_into(seen, [&] {
        if (seen.reads == 1) {
            store.append(unfenced_append("b", "1"), [](const append_result&) {});
            store.drop_history("keyed.t", 0);
            store.empty_pages[{"keyed.t", 0}] = 1;
        }
        if (seen.values.contains("b")) {
            loop.stop();
        }
    });
    handlers.record = [&, record = std::move(handlers.record)](const keyed_record& read) {
        deleted = deleted || !read.value;
        record(read);
    };
    keyed_follower follower(loop, store, {.topic = "keyed.t", .read_interval_ms = 1}, std::move(handlers));
    follower.start();
    run();
    EXPECT_FALSE(deleted);
    EXPECT_EQ(seen.values.size(), 2U);
}

/// A store or peer that answers every call with the same status.
class answering_server {
public:
    answering_server(event_loop& loop, int status) : server_(loop)
    {
        server_.handle([this, status](const http_exchange_ptr& exchange) {
            ++calls;
            target = exchange->header(store_transport::relay_target).value_or("");
            exchange->reply(status, {}, "body");
        });
        address = "127.0.0.1:" + std::to_string(server_.listen("127.0.0.1", 0).value());
    }
    std::string address;
    std::string target;
    int calls = 0;

private:
    http_server server_;
};

/// A store or peer that accepts calls and never answers.
class silent_server {
public:
    explicit silent_server(event_loop& loop) : server_(loop)
    {
        server_.handle([this](const http_exchange_ptr& exchange) { exchanges_.push_back(exchange); });
        address = "127.0.0.1:" + std::to_string(server_.listen("127.0.0.1", 0).value());
    }
    std::size_t calls() const { return exchanges_.size(); }
    std::string address;

private:
    http_server server_;
    std::vector<http_exchange_ptr> exchanges_;
};

TEST_F(store_test, transport_uses_a_peer_when_the_store_refuses)
{
    answering_server refusing(loop, 503);
    answering_server peer(loop, 200);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(refusing.address);
    transport.set_peers({peer.address});
    http_answer got;
    transport.send({.method = "GET", .path = "/x?y=1", .timeout_ms = 5'000}, [&](const http_answer& answer) {
        got = answer;
        loop.stop();
    });
    run();
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(peer.target, "GET /x?y=1");
    EXPECT_FALSE(transport.direct_path_usable());
}

TEST_F(store_test, transport_keeps_an_unknown_outcome_when_a_peer_refuses)
{
    silent_server unresponsive(loop);
    answering_server peer(loop, 503);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(unresponsive.address);
    transport.set_peers({peer.address});
    http_answer got{.outcome = call_outcome::answered};
    transport.send({.method = "POST", .path = "/x", .timeout_ms = 50}, [&](const http_answer& answer) {
        got = answer;
        loop.stop();
    });
    run();
    EXPECT_EQ(got.outcome, call_outcome::timed_out);
    EXPECT_EQ(peer.calls, 2);
}

// A store that had gone silent held up each append for its whole timeout, and again each time the direct path
// was tried with an append (tkc-sapporo-large trouble-1: appends of 0.6 to 1.6 s for 9 s).
TEST_F(store_test, transport_does_not_wait_for_the_timeout_of_a_silent_store_and_a_silent_peer)
{
    silent_server silent_store(loop);
    silent_server silent_peer(loop);
    answering_server peer(loop, 200);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(silent_store.address);
    transport.set_peers({silent_peer.address, peer.address});
    int answers = 0;
    std::function<void()> send = [&] {
        transport.send({.method = "POST", .path = "/x", .timeout_ms = test_timeout_ms},
                       [&](const http_answer& answer) {
                           EXPECT_EQ(answer.status, 200);
                           if (++answers == 20) {
                               loop.stop();
                               return;
                           }
                           send();
                       });
    };
    send();
    run();
    EXPECT_EQ(peer.calls, 20);
    EXPECT_EQ(silent_store.calls(), 1U);
    EXPECT_EQ(silent_peer.calls(), 1U);
}

/// Does not answer its first calls, and answers all later ones.
class recovering_server {
public:
    recovering_server(event_loop& loop, std::size_t silent_calls) : server_(loop)
    {
        server_.handle([this, silent_calls](const http_exchange_ptr& exchange) {
            if (exchanges_.size() < silent_calls) {
                exchanges_.push_back(exchange);
                return;
            }
            exchange->reply(200, {}, "body");
        });
        address = "127.0.0.1:" + std::to_string(server_.listen("127.0.0.1", 0).value());
    }
    std::string address;

private:
    http_server server_;
    std::vector<http_exchange_ptr> exchanges_;
};

// A read that began while the store was silent for all nodes spent its three attempts and then waited for
// their timeouts: a node took up to 3.7 s to see new configurations after the store was back.
TEST_F(store_test, transport_repeats_a_read_until_the_store_is_back)
{
    recovering_server direct(loop, 2);
    recovering_server peer_a(loop, 2);
    recovering_server peer_b(loop, 2);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(direct.address);
    transport.set_peers({peer_a.address, peer_b.address});
    http_answer got;
    transport.send({.method = "GET", .path = "/x", .timeout_ms = test_timeout_ms},
                   [&](const http_answer& answer) {
                       got = answer;
                       loop.stop();
                   });
    run();
    EXPECT_EQ(got.status, 200);
}

// A read that waits was not repeated before its wait was over: after a silence of the store a node saw a new
// configuration up to 2.6 s late.
TEST_F(store_test, transport_repeats_open_reads_when_the_store_is_back)
{
    recovering_server direct(loop, 2);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(direct.address);
    http_answer got;
    transport.send(
        {.method = "GET", .path = "/read", .timeout_ms = test_timeout_ms, .wait_ms = test_timeout_ms},
        [&](const http_answer& answer) {
            got = answer;
            loop.stop();
        });
    transport.send({.method = "POST", .path = "/silent", .timeout_ms = 100},
                   [](const http_answer& answer) { EXPECT_EQ(answer.outcome, call_outcome::timed_out); });
    const timer later = loop.after(1'000, [&] {
        transport.send({.method = "POST", .path = "/back", .timeout_ms = 5'000},
                       [](const http_answer& answer) { EXPECT_EQ(answer.status, 200); });
    });
    run();
    EXPECT_EQ(got.status, 200);
}

TEST_F(store_test, transport_ends_a_read_at_its_timeout)
{
    silent_server direct(loop);
    silent_server peer(loop);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(direct.address);
    transport.set_peers({peer.address});
    http_answer got{.outcome = call_outcome::answered};
    transport.send({.method = "GET", .path = "/x", .timeout_ms = 2'000}, [&](const http_answer& answer) {
        got = answer;
        loop.stop();
    });
    run();
    EXPECT_EQ(got.outcome, call_outcome::timed_out);
    EXPECT_GT(direct.calls() + peer.calls(), 3U);
}

TEST_F(store_test, transport_returns_to_the_store_once_a_read_reaches_it)
{
    answering_server store_server(loop, 503);
    answering_server recovered(loop, 200);
    answering_server peer(loop, 200);
    http_client client(loop);
    store_transport transport(client);
    transport.set_address(store_server.address);
    transport.set_peers({peer.address});
    timer stop;
    transport.send({.method = "POST", .path = "/x", .timeout_ms = 5'000}, [&](const http_answer&) {
        EXPECT_FALSE(transport.direct_path_usable());
        transport.set_address(recovered.address);
        transport.send({.method = "GET", .path = "/y", .timeout_ms = 5'000},
                       [&](const http_answer&) { stop = loop.after(200, [&] { loop.stop(); }); });
    });
    run();
    EXPECT_TRUE(transport.direct_path_usable());
    EXPECT_EQ(recovered.calls, 1);
}

}  // namespace
}  // namespace waxwingnotch
