/// Tests of host_manager with an owner, a worker, a store and a host service in memory, on the real clock.
#include "fakes/fake_store.hpp"
#include "fakes/fake_worker.hpp"
#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <gtest/gtest.h>

#include <utility>

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

/// A host service with one host, which is up, and others that a test adds.
class memory_hosts final : public host_api {
public:
    memory_hosts(node_state& node, memory_workers& workers) : node_(node), workers_(workers) {}

    void list(std::function<void(const host_listing&)> done) override
    {
        ++lists;
        changed_since_list = false;
        host_listing listing;
        listing.ok = answers;
        listing.hosts = hosts;
        node_.loop.defer([this, done, listing] {
            node_.traffic.add(traffic_class::hosts, {.sent = 0, .received = list_bytes});
            done(listing);
        });
    }
    void move(const host_authority& /*authority*/, const std::string& /*host*/, const std::string& /*pool*/,
              std::function<void(host_result)> done) override
    {
        ++moves;
        orders_by_earlier_list += changed_since_list ? 1 : 0;
        node_.loop.defer([done, outcome = move_outcome] { done(outcome); });
    }
    void maintain(const host_authority& /*authority*/, const std::string& /*host*/, std::int64_t /*wave*/,
                  std::function<void(host_result)> done) override
    {
        ++orders;
        orders_by_earlier_list += changed_since_list ? 1 : 0;
        runs_at_orders += workers_.worker.running.size();
        node_.loop.defer(
            [done, outcome = answers_orders ? host_result::ok : host_result::no_answer] { done(outcome); });
    }

    std::vector<host_row> hosts{
        {.name = "host", .pool = "svc", .state = host_row_state::up, .worker_id = "a"}};
    bool answers = true;         // calls for the list
    bool answers_orders = true;  // orders of maintenance
    host_result move_outcome = host_result::refused;
    std::size_t list_bytes = 0;
    bool changed_since_list = false;  // set by a test that changes `hosts`
    int lists = 0;
    int orders = 0;
    int moves = 0;
    int orders_by_earlier_list = 0;  // orders and moves since the hosts have changed
    std::size_t runs_at_orders = 0;  // on the worker

private:
    node_state& node_;
    memory_workers& workers_;
};

class host_manager_test : public testing::Test {
protected:
    /// @param link_kbps of the link of the node; 0: not known
    explicit host_manager_test(std::int64_t link_kbps = 0) : node(settings(link_kbps))
    {
        workers->worker.entry = {.id = "a",
                                 .service = "svc",
                                 .address = "10.0.0.1:1",
                                 .capacity = {8'000, 64'000, 0},
                                 .started_ms = monotonic_ms() - 1'000};
        auto config = std::make_shared<cluster_config>();
        config->queues.push_back({.name = "q", .service = "svc", .max_attempts = 4});
        config->services.push_back({.name = "svc"});
        config->services.push_back({.name = "spare", .standby = true});
        node.config = config;
        node.store = std::make_unique<fake_store>(node.loop);
        node.homes = std::make_unique<job_homes>(*node.store);
        node.shards_of_services = std::make_unique<service_shards>(node.loop, *node.homes, 1);
        node.upgrade =
            std::make_unique<store_upgrade>(node.loop, *node.store, *node.homes, *node.shards_of_services, 1);
        node.upgrade->run(node.config, {.done = [this] { node.loop.stop(); }, .unsupported = nullptr});
        node.loop.run();
        node.hosts = std::make_unique<memory_hosts>(node, *workers);
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

    static node_settings settings(std::int64_t link_kbps)
    {
        node_settings created;
        created.link_kbps = link_kbps;
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

    void submit(const std::string& id = "0000000000000001", std::int64_t cpu_milli = 100)
    {
        job_spec job;
        job.id = id;
        job.queue = "q";
        job.service = "svc";
        job.steps.push_back({.task_count = 3, .need = {cpu_milli, 100, 0}, .estimate_ms = task_ms});
        append_request request{.topic = jobs_topic, .partition = 0};
        request.records.push_back({.key = job.id, .value = encode_job(job), .offset = -1});
        node.store->append(request,
                           [](const append_result& answer) { ASSERT_EQ(answer.status, store_status::ok); });
    }

    /// Asks for the maintenance of the host, by a deadline that has passed.
    void start_late_wave()
    {
        add_late_wave();
        manager = std::make_unique<host_manager>(node, 1);
    }
    void add_late_wave()
    {
        node.waves[1] = {.number = 1, .hosts = {"host"}, .finish_by_s = 0, .max_down = 1};
        node.wave_seen_ms[1] = monotonic_ms();
    }

    node_state node;
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

/// A node whose link has room for a list of the hosts only each 6 minutes, and for one more when an order
/// waits for it.
class narrow_link_test : public host_manager_test {
protected:
    static constexpr std::int64_t link_kbps = 2'000;
    static constexpr std::size_t long_list_bytes = 9'000'000;
    static constexpr std::int64_t old_list_ms = 1'200;  // too old for an order

    narrow_link_test() : host_manager_test(link_kbps) { hosts().list_bytes = long_list_bytes; }

    /// Lets the manager read the first list, and lets that list become too old for orders.
    void read_first_list()
    {
        run_until([&] { return node.shards[0]->loaded(); });
        manager = std::make_unique<host_manager>(node, 1);
        run_until([&] { return hosts().lists == 1; });
        run_for(old_list_ms);
        ASSERT_EQ(hosts().lists, 1);
    }
};

// The holder of the host duty listed 155 hosts four times a second, which took 39 % of a link of 2 Mbit/s.
TEST_F(narrow_link_test, lists_take_a_tenth_of_the_link)
{
    constexpr std::int64_t bytes_155_hosts = 24'000;
    constexpr std::int64_t share_bytes_per_ms = link_kbps / 8 / 10;
    hosts().list_bytes = bytes_155_hosts;
    const std::int64_t begin_ms = monotonic_ms();
    manager = std::make_unique<host_manager>(node, 1);
    run_for(3'000);
    const std::int64_t passed_ms = monotonic_ms() - begin_ms;
    EXPECT_GE(hosts().lists, 2);
    EXPECT_LE(hosts().lists, 1 + passed_ms * share_bytes_per_ms / bytes_155_hosts);
}

// A wave waited minutes for the next list. An order by the earlier list would be as bad: the host has got
// another worker, whose runs would be lost.
TEST_F(narrow_link_test, an_order_waits_for_a_new_list_which_is_requested_at_once)
{
    read_first_list();
    hosts().hosts[0].worker_id = "b";
    hosts().changed_since_list = true;
    add_late_wave();
    run_until([&] { return hosts().orders > 0; });
    EXPECT_EQ(hosts().orders_by_earlier_list, 0);
    EXPECT_EQ(hosts().lists, 2);
}

// A host that was not in the earlier list was left out of its wave, which was then reported as completed.
TEST_F(narrow_link_test, a_wave_is_not_completed_without_a_host_that_is_new)
{
    const std::vector<host_row> later = std::exchange(hosts().hosts, {});
    read_first_list();
    hosts().hosts = later;
    hosts().changed_since_list = true;
    add_late_wave();
    run_until([&] { return hosts().orders > 0; });
    EXPECT_EQ(hosts().orders_by_earlier_list, 0);
}

// A drain lasts 1.5 s, and the worker got new runs before the next list.
TEST_F(narrow_link_test, a_drained_worker_stays_closed_between_two_lists)
{
    workers->worker.stop_ms = task_ms;  // so that the host cannot be taken
    submit();
    run_until([&] { return workers->worker.running.size() == 3; });
    start_late_wave();
    run_for(2'500);
    submit("0000000000000002");
    run_for(1'000);
    EXPECT_EQ(workers->worker.running.size(), 3U);
    EXPECT_LE(hosts().lists, 2);
}

// A pool that was short waited minutes for a host of the standby pool. A move by the earlier list would be as
// bad as an order of maintenance.
TEST_F(narrow_link_test, a_pool_that_is_short_does_not_wait_for_the_next_regular_list)
{
    constexpr resources capacity{8'000, 64'000, 0};
    hosts().hosts[0].capacity = capacity;
    hosts().hosts.push_back(
        {.name = "spare-host", .pool = "spare", .state = host_row_state::up, .capacity = capacity});
    hosts().move_outcome = host_result::ok;
    node.settings.host_orders_per_s = 1;  // one move a turn
    read_first_list();
    hosts().changed_since_list = true;
    submit("0000000000000001", 8'000);
    run_until([&] { return hosts().moves > 0; });
    EXPECT_EQ(hosts().orders_by_earlier_list, 0);
    EXPECT_EQ(hosts().lists, 2);
}

// Guards against another rhythm of the lists where the rate of the link is not known.
TEST_F(host_manager_test, each_turn_has_its_list_if_the_link_is_not_known)
{
    hosts().list_bytes = 9'000'000;
    manager = std::make_unique<host_manager>(node, 1);
    run_until([&] { return hosts().lists == 8; });
}

}  // namespace
}  // namespace waxwingnotch
