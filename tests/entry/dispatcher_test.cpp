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

/// A dispatcher with one worker, connected by sockets on loopback. The test sets how the worker answers.
class dispatcher_test : public ::testing::Test {
protected:
    dispatcher_test()
    {
        worker_.handle([this](const http_exchange_ptr& exchange) { handle_task(exchange); });
        front_.handle([this](const http_exchange_ptr& exchange) {
            requests_.submit(exchange, read_request(*exchange).value());
            ++arrived_;
            start_held_tasks();
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

    /// Edits the state, which has no quotas otherwise, and begins a quota round.
    void update_state(const std::function<void(fleet_state&)>& edit)
    {
        fleet_state state = view_.state();
        edit(state);
        ++state.next_offset;
        view_.replace(std::move(state));
        requests_.begin_quota_round(quota_shares::round_ms);
    }

    void handle_task(const http_exchange_ptr& exchange)
    {
        sends_.push_back(exchange->body());
        max_concurrent_ = std::max(max_concurrent_, ++running_by_body_[exchange->body()]);
        const std::string id = exchange->header("X-Task-Id").value_or("");
        if (sends_.size() <= refusals_) {
            exchange->reply(429, {{"X-Not-Started", "1"}, {"X-Free-Slots", "0"}}, "no free slot");
            return;
        }
        ++starts_;
        held_tasks_.push_back([this, exchange, id] {
            tasks_.push_back(loop_.after(run_ms_, [this, exchange, id] {
                --running_by_body_[exchange->body()];
                exchange->reply(200, {{"X-Task-Id", id}, {"X-Free-Slots", "1"}}, exchange->body());
            }));
        });
        start_held_tasks();
    }

    /// Starts the held tasks once the expected requests and sends have arrived.
    void start_held_tasks()
    {
        if (arrived_ < expected_requests_ || sends_.size() < expected_sends_) {
            return;
        }
        for (const auto& start : std::exchange(held_tasks_, {})) {
            start();
        }
    }

    /// Sends one request and waits for its answer.
    http_answer send_and_wait(const std::string& body, http_headers headers)
    {
        http_answer result;
        send("s", body, std::move(headers), [&](const http_answer& answer) {
            result = answer;
            loop_.stop();
        });
        loop_.run();
        return result;
    }

    /// Sends one request with @p caller_request_id, cancels it once the worker has received it, and waits for
    /// its answer.
    http_answer send_and_cancel(const std::string& caller_request_id)
    {
        expected_requests_ = 2;  // only one is sent, so its task is held
        http_answer result;
        send("s", "s", {{"X-Request-Id", caller_request_id}}, [&](const http_answer& answer) {
            result = answer;
            loop_.stop();
        });
        const timer poll = loop_.every(1, [&] {
            if (!sends_.empty() && result.status == 0) {
                EXPECT_FALSE(requests_.cancel(caller_request_id + "-other", "test"));
                requests_.cancel(caller_request_id, "test");
            }
        });
        loop_.run();
        EXPECT_FALSE(requests_.cancel(caller_request_id, "test"));
        return result;
    }

    /// Sends one request per element of @p services, with the service as body, and waits for all answers.
    void send_to_services(const std::vector<std::string>& services)
    {
        expected_requests_ = services.size();
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

    struct request_spec {
        std::string body;
        http_headers headers;
    };

    /// Sends requests and waits for all answers.
    /// @return the answers whose status is not 200
    std::vector<http_answer> send_all(const std::vector<request_spec>& all)
    {
        expected_requests_ = all.size();
        std::size_t answered = 0;
        std::vector<http_answer> refused;
        for (const request_spec& request : all) {
            send("s", request.body, request.headers, [&](const http_answer& answer) {
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

    std::size_t refusals_ = 0;  // number of sends that the worker refuses first
    std::int64_t run_ms_ = 1;
    std::vector<std::string> sends_;
    std::size_t starts_ = 0;
    std::size_t expected_requests_ = 0;  // requests that must arrive before tasks start
    std::size_t expected_sends_ = 0;     // sends that must arrive before tasks start
    int max_concurrent_ = 0;             // most tasks with the same body at one time

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
    claim_coordinator claims_{loop_, "n", view_, appender_, mesh_};
    dispatcher requests_{{loop_, client_, view_, upstreams_, claims_, counters_,
                          [] {
                              return 1U;
                          }},
                         {"n-1"}};
    http_server worker_{loop_};
    http_server front_{loop_};
    std::string front_address_;
    std::size_t arrived_ = 0;
    std::map<std::string, int> running_by_body_;
    std::vector<std::function<void()>> held_tasks_;
    std::vector<timer> tasks_;
};

}  // namespace

// Guards against a worker that is considered full for ever after a refusal, against refusals that use up a
// request's attempts, and against a second start.
TEST_F(dispatcher_test, refusals_for_lack_of_slots_only_delay_a_request)
{
    refusals_ = 25;
    const http_answer answer = send_and_wait("order", {{"X-Non-Idempotent", "true"}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "order");
    EXPECT_EQ(sends_.size(), 26U);
    EXPECT_EQ(starts_, 1U);
}

// Guards against a slot used for work that cannot end before its deadline, and against "not run" for work
// that was sent.
TEST_F(dispatcher_test, work_that_cannot_make_its_deadline_is_not_sent)
{
    run_ms_ = 50;
    const http_headers kind = {{"X-Kind", "k"}};
    for (int run = 0; run < 5; ++run) {
        EXPECT_EQ(send_and_wait("early", kind).status, 200);
    }
    const http_answer late = send_and_wait("late", {{"X-Kind", "k"}, {"X-Deadline-Ms", "20"}});
    EXPECT_EQ(late.status, 503);
    EXPECT_EQ(late.header("X-Outcome").value_or(""), "not-run");
    EXPECT_EQ(sends_, std::vector<std::string>(5, "early"));
}

// Guards against a service whose queue is served only while the queues of the pool's other services are
// empty.
TEST_F(dispatcher_test, services_of_one_pool_take_turns)
{
    send_to_services({"a", "a", "a", "a", "b", "b", "b", "b"});
    ASSERT_EQ(sends_.size(), 8U);
    for (std::size_t send = 1; send < sends_.size(); ++send) {
        EXPECT_NE(sends_[send], sends_[send - 1]) << send;
    }
}

// Guards against a team that exceeds its quota, against its held requests blocking other teams, and against
// a refusal with a status for a server fault.
TEST_F(dispatcher_test, a_team_runs_no_more_than_its_quota)
{
    update_state([](fleet_state& state) {
        state.hosts["h1"].spec.slots = 8;
        state.rules_in_force.teams = {{"t", 1}};
    });
    expected_sends_ = 2;  // one of team "t", and the one of the team without a quota queued behind it
    const http_headers team = {{"X-Team", "t"}};
    const auto refused = send_all(
        {{"t", team}, {"t", team}, {"t", team}, {"t", team}, {"other", {{"X-Team", "without a quota"}}}});
    ASSERT_EQ(refused.size(), 1U);  // a share of 1 admits 1 running and 2 waiting
    EXPECT_EQ(refused[0].status, 429);
    EXPECT_EQ(refused[0].header("X-Outcome").value_or(""), "not-run");
    EXPECT_EQ(refused[0].header("Retry-After").value_or(""), "1");
    EXPECT_NE(refused[0].body.find("team holds 3 with a share of 1 slots"), std::string::npos);
    EXPECT_EQ(max_concurrent_, 1);
    EXPECT_EQ(sends_.size(), 4U);
}

// Guards against leaked counts: a request that ended must free its place in the quota.
TEST_F(dispatcher_test, answers_and_refusals_release_the_quota)
{
    update_state([](fleet_state& state) { state.rules_in_force.teams = {{"t", 1}}; });
    refusals_ = 2;
    for (int run = 0; run < 8; ++run) {
        EXPECT_EQ(send_and_wait("t", {{"X-Team", "t"}}).status, 200) << run;
    }
}

// Guards against a full queue that is reported with a status for a server fault.
TEST_F(dispatcher_test, a_full_queue_is_refused_with_status_429)
{
    update_state([](fleet_state& state) { state.rules_in_force.services[2].queue_limit = 1; });
    const auto refused = send_all({{"x", {}}, {"x", {}}, {"x", {}}});
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 429);
    EXPECT_EQ(sends_.size(), 2U);
}

// Guards against admission of work although the wait in the queue uses up its deadline. No run times are
// learned, so each request is expected to run 1,000 ms, and the last one to wait 1,500 ms.
TEST_F(dispatcher_test, a_wait_beyond_half_of_the_deadline_is_refused_at_once)
{
    const auto refused = send_all(
        {{"x", {}}, {"x", {}}, {"y", {{"X-Deadline-Ms", "60000"}}}, {"z", {{"X-Deadline-Ms", "2000"}}}});
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, 503);
    EXPECT_EQ(refused[0].header("X-Outcome").value_or(""), "not-run");
    EXPECT_NE(refused[0].body.find("expected wait"), std::string::npos);
    EXPECT_EQ(std::count(sends_.begin(), sends_.end(), "z"), 0);
}

// Guards against a caller that cannot cancel, because it gets the request's id only with the answer.
TEST_F(dispatcher_test, a_caller_cancels_by_its_own_request_id)
{
    const http_answer answer = send_and_cancel("order-7");
    EXPECT_EQ(answer.status, 504);
    EXPECT_EQ(answer.header("X-Outcome").value_or(""), "unknown");
}

}  // namespace waxwingnotch
