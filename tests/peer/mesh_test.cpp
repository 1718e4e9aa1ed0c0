#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/peer/peer_mesh.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace waxwingnotch {

namespace {

/// A node that consists of a mesh and a list of log entries.
struct fake_node {
    fake_node(event_loop& loop, std::string name, std::vector<peer_settings> peers)
        : name_(std::move(name)), mesh(loop, {name_, std::move(peers)}, handlers())
    {
    }

    mesh_handlers handlers()
    {
        mesh_handlers callbacks;
        callbacks.self = [this] {
            heartbeat beat;
            beat.node = name_;
            beat.incarnation = 1;
            beat.offset = static_cast<std::int64_t>(entries.size());
            beat.serving = true;
            return beat;
        };
        callbacks.on_records = [this](std::span<const log_entry> records) {
            ++record_messages;
            for (const log_entry& entry : records) {
                if (entry.offset == static_cast<std::int64_t>(entries.size())) {
                    entries.push_back(entry);
                }
            }
            on_change();
        };
        callbacks.encode_state = [this] {
            return std::to_string(entries.size());
        };
        callbacks.on_state = [this](const state_message& message) {
            state_bytes = message.bytes;
            on_change();
        };
        callbacks.on_key_query = [](const key_query_message& query,
                                    const std::function<void(key_answer_message)>& reply) {
            reply({query.id, true, 200, "done", "text/plain", "answer of " + query.key});
        };
        return callbacks;
    }

    /// Simulates an answer of the log with @p count new entries.
    void read_from_log(std::int64_t count)
    {
        std::vector<log_entry> records;
        for (std::int64_t i = 0; i < count; ++i) {
            const auto offset = static_cast<std::int64_t>(entries.size());
            records.push_back({offset, offset, "r" + std::to_string(offset)});
            entries.push_back(records.back());
        }
        mesh.retain_records(records);
    }

    std::string name_;
    std::vector<log_entry> entries;
    int record_messages = 0;
    std::string state_bytes;
    std::function<void()> on_change = [] {
    };
    peer_mesh mesh;
};

class mesh_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        const auto port = second_.mesh.listen("127.0.0.1:0");
        ASSERT_TRUE(port);
        first_ = std::make_unique<fake_node>(
            loop_, "a", std::vector<peer_settings>{{"b", "127.0.0.1:" + std::to_string(port.value())}});
        first_->mesh.start();
        second_.mesh.start();
    }

    /// Runs the loop until the condition holds.
    void run_until(const std::function<bool()>& condition)
    {
        const timer check = loop_.every(5, [&] {
            if (condition()) {
                loop_.stop();
            }
        });
        loop_.run();
    }

    event_loop loop_;
    fake_node second_{loop_, "b", {}};
    std::unique_ptr<fake_node> first_;
};

}  // namespace

// Guards against a node that stays behind its peers while it cannot reach the log.
TEST_F(mesh_test, a_node_that_cannot_read_the_log_catches_up_from_a_peer)
{
    run_until([&] { return first_->mesh.members().find("b") != nullptr; });
    second_.read_from_log(10);
    run_until([&] { return first_->entries.size() == 10; });
    EXPECT_EQ(first_->entries.back().bytes, "r9");
}

// Guards against needless record traffic between nodes that can all read the log.
TEST_F(mesh_test, nodes_that_read_the_log_exchange_no_records)
{
    run_until([&] { return first_->mesh.members().find("b") != nullptr; });
    for (int round = 0; round < 50; ++round) {
        second_.read_from_log(1);
        first_->read_from_log(1);
    }
    const std::int64_t two_intervals_ms = 2 * peer_mesh::heartbeat_interval_ms;
    const std::int64_t end = monotonic_ms() + two_intervals_ms;
    run_until([&] { return monotonic_ms() > end; });
    EXPECT_EQ(first_->record_messages + second_.record_messages, 0);
}

// Guards against a node that cannot catch up because no peer keeps the records that it needs.
TEST_F(mesh_test, a_node_far_behind_receives_the_state)
{
    run_until([&] { return first_->mesh.members().find("b") != nullptr; });
    second_.read_from_log(static_cast<std::int64_t>(peer_mesh::max_kept_records) + 10);
    run_until([&] { return !first_->state_bytes.empty(); });
    EXPECT_EQ(first_->state_bytes, std::to_string(peer_mesh::max_kept_records + 10));
}

// Guards against a query that gets the answer to another one, or none.
TEST_F(mesh_test, each_query_is_answered_once)
{
    run_until([&] { return first_->mesh.members().find("b") != nullptr; });
    std::vector<std::string> answers;
    for (const char* key : {"k1", "k2"}) {
        first_->mesh.query_key("b", key, "r", 20'000,
                               [&](const key_answer_message& answer) { answers.push_back(answer.body); });
    }
    first_->mesh.query_key("nobody", "k3", "r", 20'000, [&](const key_answer_message& answer) {
        answers.push_back(answer.known ? "known" : "not known");
    });
    run_until([&] { return answers.size() == 3; });
    std::sort(answers.begin(), answers.end());
    EXPECT_EQ(answers, (std::vector<std::string>{"answer of k1", "answer of k2", "not known"}));
}

}  // namespace waxwingnotch
