#include "waxwingnotch/entry/dispatcher.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace waxwingnotch {

namespace {

/// A dispatcher with one worker on loopback, both behind real sockets. The test says how the worker answers.
class one_worker : public ::testing::Test {
protected:
    one_worker()
    {
        worker_.handle([this](const http_exchange_ptr& exchange) { work(exchange); });
        front_.handle([this](const http_exchange_ptr& exchange) {
            requests_.submit(exchange, read_request(*exchange).value());
            ++arrived_;
            start_held();
        });
        fleet_state state;
        state.next_offset = 1;
        state.rules_in_force.services = {{"a", "p"}, {"b", "p"}, {"s", "p"}};
        host_state& machine = state.hosts["h1"];
        machine.pool = "p";
        machine.spec.name = "h1";
        machine.spec.slots = 1;
        machine.spec.address = "127.0.0.1:" + std::to_string(worker_.listen("127.0.0.1", 0).value());
        view_.replace(std::move(state));
        front_address_ = "127.0.0.1:" + std::to_string(front_.listen("127.0.0.1", 0).value());
    }

    /// Changes the state, which has one service queue and no quota otherwise, and begins a round.
    void change(const std::function<void(fleet_state&)>& edit)
    {
        fleet_state state = view_.state();
        edit(state);
        ++state.next_offset;
        view_.replace(std::move(state));
        requests_.begin_round(quota_shares::round_ms);
    }

    void work(const http_exchange_ptr& exchange)
    {
        sends_.push_back(exchange->body());
        most_at_once_ = std::max(most_at_once_, ++at_once_[exchange->body()]);
        const std::string id = exchange->header("X-Task-Id").value_or("");
        if (sends_.size() <= refusals_) {
            exchange->reply(429, {{"X-Not-Started", "1"}, {"X-Free-Slots", "0"}}, "no free slot");
            return;
        }
        ++starts_;
        held_.push_back([this, exchange, id] {
            tasks_.push_back(loop_.after(run_ms_, [this, exchange, id] {
                --at_once_[exchange->body()];
                exchange->reply(200, {{"X-Task-Id", id}, {"X-Free-Slots", "1"}}, exchange->body());
            }));
        });
        start_held();
    }

    /// Tasks run once all requests that the test announced have arrived.
    void start_held()
    {
        if (arrived_ < announced_ || sends_.size() < awaited_sends_) {
            return;
        }
        for (const auto& start : std::exchange(held_, {})) {
            start();
        }
    }

    /// Sends one request and waits for its answer.
    http_answer ask(const std::string& body, http_headers headers)
    {
        http_answer kept;
        send("s", body, std::move(headers), [&](const http_answer& answer) {
            kept = answer;
            loop_.stop();
        });
        loop_.run();
        return kept;
    }

    /// Sends one request under @p own_id, cancels it once the worker holds it, and waits for its answer.
    http_answer ask_and_cancel(const std::string& own_id)
    {
        announced_ = 2;  // more than arrive, so that the task is held
        http_answer kept;
        send("s", "s", {{"X-Request-Id", own_id}}, [&](const http_answer& answer) {
            kept = answer;
            loop_.stop();
        });
        const timer look = loop_.every(1, [&] {
            if (!sends_.empty() && kept.status == 0) {
                EXPECT_FALSE(requests_.cancel(own_id + "-other", "test"));
                requests_.cancel(own_id, "test");
            }
        });
        loop_.run();
        EXPECT_FALSE(requests_.cancel(own_id, "test"));
        return kept;
    }

    /// Sends requests with their service as body and waits for all answers.
    void ask_all(const std::vector<std::string>& services)
    {
        announced_ = services.size();
        std::size_t answered = 0;
        for (const std::string& service : services) {
            send(service, service, {}, [&](const http_answer& answer) {
                EXPECT_EQ(answer.status, 200);
                if (++answered == services.size()) {
                    loop_.stop();
                }
            });
        }
        loop_.run();
    }

    struct wanted {
        std::string body;
        http_headers headers;
    };

    /// Sends requests and waits for all answers. @return the answers that are not 200
    std::vector<http_answer> ask_each(const std::vector<wanted>& all)
    {
        announced_ = all.size();
        std::size_t answered = 0;
        std::vector<http_answer> refused;
        for (const wanted& one : all) {
            send("s", one.body, one.headers, [&](const http_answer& answer) {
                if (answer.status != 200) {
                    refused.push_back(answer);
                }
                if (++answered == all.size()) {
                    loop_.stop();
                }
            });
        }
        loop_.run();
        return refused;
    }

    void send(const std::string& service, const std::string& body, http_headers headers, answer_handler done)
    {
        http_call call;
        call.method = "POST";
        call.address = front_address_;
        call.path = "/v1/services/" + service + "/requests";
        call.headers = std::move(headers);
        call.body = body;
        call.timeout_ms = 60'000;
        client_.send(call, std::move(done));
    }

    std::size_t refusals_ = 0;  // of the first sends
    std::int64_t run_ms_ = 1;
    std::vector<std::string> sends_;
    std::size_t starts_ = 0;
    std::size_t announced_ = 0;      // requests that must arrive before tasks run
    std::size_t awaited_sends_ = 0;  // sends that must arrive before tasks run
    int most_at_once_ = 0;           // tasks with the same body

private:
    event_loop loop_;
    metrics counters_;
    http_client client_{loop_};
    fleet_view view_;
    log_appender appender_{loop_, client_, {"127.0.0.1:1", "n", 1, [] {
                                                return std::int64_t{0};
                                            }}};
    peer_mesh mesh_{loop_, {"n", {}}, {}};
    upstream_table upstreams_;
    claim_desk claims_{loop_, "n", view_, appender_, mesh_};
    dispatcher requests_{{loop_, client_, view_, upstreams_, claims_, counters_,
                          [] {
                              return 1U;
                          }},
                         {"n-1"}};
    http_server worker_{loop_};
    http_server front_{loop_};
    std::string front_address_;
    std::size_t arrived_ = 0;
    std::map<std::string, int> at_once_;  // by body
    std::vector<std::function<void()>> held_;
    std::vector<timer> tasks_;
};

}  // namespace

// Guards against a worker that is taken for full for good, against refusals that use up the attempts of a
// request, and against a second start.
TEST_F(one_worker, refusals_for_lack_of_slots_only_cost_time)
{
    refusals_ = 25;
    const http_answer answer = ask("order", {{"X-Non-Idempotent", "true"}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "order");
    EXPECT_EQ(sends_.size(), 26U);
    EXPECT_EQ(starts_, 1U);
}

// Guards against work that occupies a slot although it cannot end in time, and against "not run" for work
// that was sent.
TEST_F(one_worker, work_that_cannot_make_its_deadline_is_not_sent)
{
    run_ms_ = 50;
    const http_headers kind = {{"X-Kind", "k"}};
    for (int run = 0; run < 5; ++run) {
        EXPECT_EQ(ask("early", kind).status, 200);
    }
    const http_answer late = ask("late", {{"X-Kind", "k"}, {"X-Deadline-Ms", "20"}});
    EXPECT_EQ(late.status, 503);
    EXPECT_EQ(late.header("X-Outcome").value_or(""), "not-run");
    EXPECT_EQ(sends_, std::vector<std::string>(5, "early"));
}

// Guards against a service whose queue is served only when the other services of its pool have none.
TEST_F(one_worker, services_of_one_pool_take_turns)
{
    ask_all({"a", "a", "a", "a", "b", "b", "b", "b"});
    ASSERT_EQ(sends_.size(), 8U);
    for (std::size_t send = 1; send < sends_.size(); ++send) {
        EXPECT_NE(sends_[send], sends_[send - 1]) << send;
    }
}

// Guards against a team that runs more than its quota, against work of others that waits behind it, and
// against a refusal that blames the system for it.
TEST_F(one_worker, a_team_runs_no_more_than_its_quota)
{
    change([](fleet_state& state) {
        state.hosts["h1"].spec.slots = 8;
        state.rules_in_force.teams = {{"t", 1}};
    });
    awaited_sends_ = 2;  // the one of the team and the one of the unknown team behind it
    const http_headers team = {{"X-Team", "t"}};
    const auto refused = ask_each(
        {{"t", team}, {"t", team}, {"t", team}, {"t", team}, {"other", {{"X-Team", "without a quota"}}}});
    ASSERT_EQ(refused.size(), 1U);  // a share of 1 holds 1 running and 2 waiting
    EXPECT_EQ(refused[0].status, 429);
    EXPECT_EQ(refused[0].header("X-Outcome").value_or(""), "not-run");
    EXPECT_EQ(refused[0].header("Retry-After").value_or(""), "1");
    EXPECT_NE(refused[0].body.find("team holds 3 with a share of 1 slots"), std::string::npos);
    EXPECT_EQ(most_at_once_, 1);
    EXPECT_EQ(sends_.size(), 4U);
}

// Guards against counts of a team that leak: what ended must make room.
TEST_F(one_worker, a_quota_is_free_again_after_answers_and_refusals)
{
    change([](fleet_state& state) { state.rules_in_force.teams = {{"t", 1}}; });
    refusals_ = 2;
    for (int run = 0; run < 8; ++run) {
        EXPECT_EQ(ask("t", {{"X-Team", "t"}}).status, 200) << run;
    }
}

// Guards against a full queue that is reported as a fault of the system.
TEST_F(one_worker, a_full_queue_is_too_many_requests)
{
    change([](fleet_state& state) { state.rules_in_force.services[2].queue_limit = 1; });
    const auto refused = ask_each({{"x", {}}, {"x", {}}, {"x", {}}});
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 429);
    EXPECT_EQ(sends_.size(), 2U);
}

// Guards against work that is taken although the queue ahead uses up its deadline: nothing is learned, so
// each request is expected to run 1,000 ms, and the last one to wait 1,500 ms.
TEST_F(one_worker, a_wait_beyond_half_of_the_deadline_is_refused_at_once)
{
    const auto refused = ask_each(
        {{"x", {}}, {"x", {}}, {"y", {{"X-Deadline-Ms", "60000"}}}, {"z", {{"X-Deadline-Ms", "2000"}}}});
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 503);
    EXPECT_EQ(refused[0].header("X-Outcome").value_or(""), "not-run");
    EXPECT_NE(refused[0].body.find("expected wait"), std::string::npos);
    EXPECT_EQ(std::count(sends_.begin(), sends_.end(), "z"), 0);
}

// Guards against a caller that cannot cancel, because it learns its request's id with the answer only.
TEST_F(one_worker, a_caller_cancels_by_the_id_that_it_gave)
{
    const http_answer answer = ask_and_cancel("order-7");
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(answer.header("X-Outcome").value_or(""), "unknown");
}

}  // namespace waxwingnotch
