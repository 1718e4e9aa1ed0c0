/// Tests of host_manager with an owner, a worker, a store and a host service in memory, on the real clock.
#include "fakes/fake_store.hpp"
#include "fakes/fake_worker.hpp"
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 30'000;
constexpr std::int64_t task_ms = 60'000;
constexpr std::int64_t stop_ms = 300;

/// One worker, whose runs go on for some time after they were told to stop.
class memory_workers final : public worker_api {
public:
    explicit memory_workers(event_loop& loop) : loop_(loop) { worker.stop_ms = stop_ms; }
    /// Another way to the worker of @p other, on which polls that wait for an end are not answered.
    memory_workers(event_loop& loop, memory_workers& other)
        : loop_(loop), worker_(&other.worker), holds_waiting_polls_(true)
    {
    }

    void start(const worker_target& /*target*/, const start_order& order, handler<order_answer> done) override
    {
        loop_.defer([done, answer = worker_->start(order, monotonic_ms(), task_ms, end_kind::done)] {
            done(answer);
        });
    }
    void stop(const worker_target& /*target*/, const stop_order& order, handler<order_answer> done) override
    {
        loop_.defer([done, answer = worker_->stop(order, monotonic_ms())] { done(answer); });
    }
    void pace(const worker_target& /*target*/, const pace_order& /*order*/,
              handler<order_answer> done) override
    {
        loop_.defer([done] { done({.outcome = order_result::ok}); });
    }
    void poll(const worker_target& /*target*/, const poll_order& order, handler<poll_answer> done) override
    {
        if (holds_waiting_polls_ && order.wait_ms > 0) {
            return;
        }
        constexpr std::int64_t wait_ms = 5;
        polls_.push_back(loop_.after(wait_ms, [this, order, done] {
            done(silent ? poll_answer{} : worker_->poll(order, monotonic_ms()));
        }));
    }

    fake_worker worker;
    bool silent = false;  // no poll is answered

private:
    event_loop& loop_;
    fake_worker* worker_ = &worker;
    bool holds_waiting_polls_ = false;
    std::vector<timer> polls_;
};

/// A host service with one host, which is up.
class memory_hosts final : public host_api {
public:
    memory_hosts(event_loop& loop, memory_workers& workers) : loop_(loop), workers_(workers) {}

    void list(std::function<void(const host_listing&)> done) override
    {
        host_listing listing;
        listing.ok = answers;
        listing.hosts.push_back(
            {.name = "host", .pool = "svc", .state = host_row_state::up, .worker_id = "a"});
        loop_.defer([done, listing] { done(listing); });
    }
    void move(const host_authority& /*authority*/, const std::string& /*host*/, const std::string& /*pool*/,
              std::function<void(host_result)> done) override
    {
        loop_.defer([done] { done(host_result::refused); });
    }
    void maintain(const host_authority& /*authority*/, const std::string& /*host*/, std::int64_t /*wave*/,
                  std::function<void(host_result)> done) override
    {
        ++orders;
        runs_at_orders += workers_.worker.running.size();
        loop_.defer(
            [done, outcome = answers_orders ? host_result::ok : host_result::no_answer] { done(outcome); });
    }

    bool answers = true;         // calls for the list
    bool answers_orders = true;  // orders of maintenance
    int orders = 0;
    std::size_t runs_at_orders = 0;  // on the worker

private:
    event_loop& loop_;
    memory_workers& workers_;
};

class host_manager_test : public testing::Test {
protected:
    host_manager_test()
    {
        workers->worker.entry = {.id = "a",
                                 .service = "svc",
                                 .address = "10.0.0.1:1",
                                 .capacity = {8'000, 64'000, 0},
                                 .started_ms = monotonic_ms() - 1'000};
        auto config = std::make_shared<cluster_config>();
        config->queues.push_back({.name = "q", .service = "svc", .max_attempts = 4});
        config->services.push_back({.name = "svc"});
        node.config = config;
        node.store = std::make_unique<fake_store>(node.loop);
        node.homes = std::make_unique<job_homes>(*node.store);
        node.shards_of_services = std::make_unique<service_shards>(node.loop, *node.homes, 1);
        node.upgrade =
            std::make_unique<store_upgrade>(node.loop, *node.store, *node.homes, *node.shards_of_services, 1);
        node.upgrade->run(node.config, {.done = [this] { node.loop.stop(); }, .unsupported = nullptr});
        node.loop.run();
        node.hosts = std::make_unique<memory_hosts>(node.loop, *workers);
        store().assigned[0] = node.settings.internal_address + "/1/1000";
        take_over(1);
    }

    /// Starts an owner of the shard, which takes over from the one before.
    void take_over(std::int64_t epoch)
    {
        node.shards.erase(0);
        node.shards[0] = make_owner(epoch, *workers, *node.store);
    }
    std::unique_ptr<shard_owner> make_owner(std::int64_t epoch, worker_api& way, log_store& store)
    {
        auto owner = std::make_unique<shard_owner>(
            shard_owner::parts{.loop = &node.loop, .store = &store, .workers = &way, .address = "node"}, 0,
            shard_options{.epoch = epoch}, [] { FAIL() << "the owner was replaced"; });
        owner->set_config(node.config);
        owner->put_worker(workers->worker.entry);
        owner->start();
        return owner;
    }
    /// Lets another node take the shard over and run three tasks. The owner of this node does not notice: its
    /// store shows it nothing new, and its polls wait at the worker.
    void replace_unnoticed()
    {
        node.shards[0] = make_owner(2, *stale_way, silent_store);
        run_until([&] { return node.shards[0]->loaded(); });
        run_for(100);
        next_owner = make_owner(3, *workers, *node.store);
        submit();
        run_until([&] { return workers->worker.running.size() == 3; });
    }
    fake_store& store() { return static_cast<fake_store&>(*node.store); }

    static node_settings settings()
    {
        node_settings created;
        created.name = "node";
        created.store_address = "127.0.0.1:1";
        created.partitions = 1;
        created.takeover_pause_ms = 0;
        return created;
    }
    memory_hosts& hosts() { return static_cast<memory_hosts&>(*node.hosts); }

    /// Runs the loop until @p condition holds; fails the test after test_timeout_ms.
    void run_until(const std::function<bool()>& condition)
    {
        const timer check = node.loop.every(10, [&] {
            if (condition()) {
                node.loop.stop();
            }
        });
        const timer timeout = node.loop.after(test_timeout_ms, [this] {
            ADD_FAILURE() << "the test timed out";
            node.loop.stop();
        });
        node.loop.run();
    }
    void run_for(std::int64_t duration_ms)
    {
        const std::int64_t end_ms = monotonic_ms() + duration_ms;
        run_until([end_ms] { return monotonic_ms() >= end_ms; });
    }

    void submit()
    {
        job_spec job;
        job.id = "0000000000000001";
        job.queue = "q";
        job.service = "svc";
        job.steps.push_back({.task_count = 3, .need = {100, 100, 0}, .estimate_ms = task_ms});
        append_request request{.topic = jobs_topic, .partition = 0};
        request.records.push_back({.key = job.id, .value = encode_job(job), .offset = -1});
        node.store->append(request,
                           [](const append_result& answer) { ASSERT_EQ(answer.status, store_status::ok); });
    }

    /// Asks for the maintenance of the host, by a deadline that has passed.
    void start_late_wave()
    {
        node.waves[1] = {.number = 1, .hosts = {"host"}, .finish_by_s = 0, .max_down = 1};
        node.wave_seen_ms[1] = monotonic_ms();
        manager = std::make_unique<host_manager>(node, 1);
    }

    node_state node{settings()};
    // The first is the worker itself.
    memory_workers* workers = add_way(std::make_unique<memory_workers>(node.loop));
    std::unique_ptr<memory_workers> stale_way = std::make_unique<memory_workers>(node.loop, *workers);
    fake_store silent_store{node.loop};  // of an owner that learns of nothing
    std::unique_ptr<shard_owner> next_owner;
    std::unique_ptr<host_manager> manager;

private:
    memory_workers* add_way(std::unique_ptr<memory_workers> way)
    {
        memory_workers* added = way.get();
        node.workers = std::move(way);
        return added;
    }
};

// A wave that was late ordered the maintenance of hosts with runs, whose ends were lost.
TEST_F(host_manager_test, a_late_wave_stops_the_runs_before_its_order)
{
    submit();
    run_until([&] { return workers->worker.running.size() == 3; });
    start_late_wave();
    run_until([&] { return hosts().orders > 0; });
    EXPECT_EQ(hosts().runs_at_orders, 0U);
    EXPECT_EQ(node.shards[0]->core().drain_of("a", monotonic_ms()).unstored, false);
}

// An order without an answer was carried out late, when its worker had new runs, whose ends were lost.
TEST_F(host_manager_test, a_worker_stays_closed_after_an_order_without_an_answer)
{
    run_until([&] { return node.shards[0]->loaded(); });
    start_late_wave();
    hosts().answers_orders = false;
    run_until([&] { return hosts().orders > 0; });
    hosts().answers = false;  // so that no further poll closes the worker
    run_for(2'000);
    submit();
    run_for(2'000);
    EXPECT_TRUE(workers->worker.running.empty());
}

// An order without an answer was sent again while a new owner, which did not know of it, had runs on the
// worker.
TEST_F(host_manager_test, an_order_is_not_sent_again_before_the_worker_is_empty)
{
    run_until([&] { return node.shards[0]->loaded(); });
    hosts().answers_orders = false;
    start_late_wave();
    run_until([&] { return hosts().orders > 0; });
    submit();
    take_over(2);
    run_until([&] { return hosts().orders > 3; });
    EXPECT_EQ(hosts().runs_at_orders, 0U);
}

// An owner that had been replaced without its knowledge said that a worker was empty, and the host was
// taken with the runs of the new owner.
TEST_F(host_manager_test, an_owner_that_has_been_replaced_gives_no_host_away)
{
    replace_unnoticed();
    start_late_wave();
    run_for(1'000);
    EXPECT_EQ(hosts().orders, 0);
    next_owner.reset();
    take_over(4);
    run_until([&] { return hosts().orders > 0; });
    EXPECT_EQ(hosts().runs_at_orders, 0U);
}

// The same with an owner that cannot reach the worker: only the store can tell.
TEST_F(host_manager_test, an_owner_that_has_been_replaced_gives_no_host_of_a_silent_worker_away)
{
    stale_way->silent = true;
    store().assigned[0] = "10.0.0.9:1/1/1000";
    replace_unnoticed();
    start_late_wave();
    run_for(1'000);
    EXPECT_EQ(hosts().orders, 0);
}

// An earlier owner answered from the network after a later one had, and the host was taken.
TEST_F(host_manager_test, an_owner_is_not_believed_after_a_later_one_has_answered)
{
    workers->worker.stop_ms = task_ms;  // so that the later owner does not give the host away
    submit();
    run_until([&] { return workers->worker.running.size() == 3; });
    start_late_wave();
    run_for(1'000);
    EXPECT_EQ(hosts().orders, 0);
    node.shards.erase(0);
    run_for(100);
    workers->worker.running.clear();  // neither the worker nor the store shows that there is a later owner
    workers->worker.token = 0;
    node.shards[0] = make_owner(0, *stale_way, silent_store);
    run_for(1'000);
    EXPECT_EQ(hosts().orders, 0);
}

// The host of a worker that has ended was never maintained, as nothing could confirm the ownership.
TEST_F(host_manager_test, the_host_of_a_silent_worker_is_taken_by_the_owner_that_the_store_names)
{
    run_until([&] { return node.shards[0]->loaded(); });
    run_for(100);
    workers->silent = true;
    start_late_wave();
    run_until([&] { return hosts().orders > 0; });
}

}  // namespace
}  // namespace waxwingnotch
