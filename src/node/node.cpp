#include "waxwingnotch/node/node.hpp"

#include "documents.hpp"
#include "node/libevent_log.hpp"
#include "node/listen.hpp"
#include "node/lost_host_watch.hpp"
#include "node/node_state.hpp"
#include "node/settings_file.hpp"
#include "store_client.hpp"
#include "worker_client.hpp"

#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/base/build_info.hpp"
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/crash_report.hpp"
#include "waxwingnotch/base/hash.hpp"
#include "waxwingnotch/base/log.hpp"
#include "waxwingnotch/base/process.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <algorithm>
#include <csignal>

namespace waxwingnotch {

namespace {

// Long-poll time of reads of the operator's topic; well within the bound for a new configuration.
constexpr std::int64_t configuration_wait_ms = 700;
// Size of the answer to such a read. A larger record is read by itself, so that versions that follow each
// other faster than a link of 2 Mbit/s carries them are skipped; 16 KB take 65 ms of it.
constexpr std::int64_t operator_answer_kb = 16;
// Between reads of the worker registrations; an eighth of the drain bound.
constexpr std::int64_t registry_poll_ms = 250;
// Longer than a takeover, shorter than the time until a silent worker is unregistered.
constexpr std::int64_t worker_lease_ms = 4'000;
constexpr std::int64_t open_starts_ms =
    260;  // of the link; covers the append before, and the wait for the link
// Times as many starts may be open while another node passes them on: one of these takes 180 to 200 bytes of
// the link, one that goes straight 1,250.
constexpr std::int64_t relayed_starts_factor = 2;
constexpr std::int64_t min_drain_ms = 1'500;  // open connections are served for at least this long
constexpr std::int64_t kill_margin_ms = 700;  // the process ends this long before the platform kills it
constexpr std::int64_t drain_check_ms = 100;
constexpr std::int64_t ends_retry_ms = 400;             // between attempts to deliver ends to the next owner
constexpr std::size_t max_metrics_body_bytes = 1'024;   // requests for the metrics page have no body
constexpr std::size_t max_peer_body_bytes = 4U << 20U;  // twice the store's limit for one call
constexpr std::int64_t descriptors_check_ms = 100;
constexpr std::int64_t lost_hosts_check_ms = 500;
constexpr std::int64_t settings_check_ms = 1'000;  // the settings file may change without a signal
// A node that is started again waits for the ports as long as the process before it may drain, and this
// longer.
constexpr std::int64_t listen_margin_ms = 2'000;

/// @return a short hash of the names of all services in order, by which versions with other lists are told
std::string hash_services(const cluster_config& config)
{
    std::string names;
    for (const service_config& service : config.services) {
        names += service.name + '\n';
    }
    constexpr std::size_t digits = 8;
    return sha256_hex(names).substr(0, digits);
}

/// @param bound_ms how long after a report or cancel is stored a task may still start
/// @return how old what an owner knows may be when it orders a start
std::int64_t age_limit_ms(std::int64_t bound_ms)
{
    return std::max(bound_ms - order_margin_ms, order_margin_ms);
}

/// @return bytes that the link carries within a fraction of the time after which an order counts as lost
std::int64_t open_start_bytes(std::int64_t link_kbps)
{
    constexpr std::int64_t bits = 8;
    return link_kbps * open_starts_ms / bits;  // 1 kbit/s is 1 bit a millisecond
}

/// Why a node ended.
struct node_end {
    const char* reason;
    std::string detail;
    int status = 0;
};

/// An entry node: its servers, followers and components.
class node {
public:
    /// @param stamp of the file from which the settings come
    node(node_settings settings, node_options options, const file_stamp& stamp);
    node_end run();

private:
    result<bool> listen();
    void follow_operator_topic();
    void enable_registry_follower(bool enabled);
    void on_operator_record(const keyed_record& record);
    void use_configuration(cluster_config config);
    void configure_shards();
    void on_worker_record(const keyed_record& record);
    void join_group();
    void take_shard(int shard, std::int64_t epoch);
    void drop_shard(int shard);
    void configure_shard(int shard, shard_owner& owner);
    void request_peer_joins();
    void ask_for_job(int shard, const std::string& id, std::function<void(std::optional<bool>)> done);
    void request_release(const std::string& address, int shard, std::int64_t epoch,
                         std::function<void(bool)> done);
    void update_peers();
    bool ready() const;
    void guard_descriptors();
    void stop();
    void use_host_service();
    void reload();

    node_options options_;
    file_stamp settings_stamp_;  // of the file when it was last read
    node_state state_;
    adapter::advice_client* policy_client_ = nullptr;  // in state_
    adapter::host_client* host_client_ = nullptr;      // in state_; null: the settings name no host service
    caller_api callers_;
    internal_api internal_;
    http_server caller_server_;
    http_server ready_server_;
    http_server internal_server_;
    http_server metrics_server_;
    optional_listener metrics_listener_;
    std::unique_ptr<keyed_follower> operator_follower_;
    std::unique_ptr<keyed_follower> registry_follower_;
    std::unique_ptr<host_manager> host_manager_;
    node_end end_{.reason = "stopped", .detail = {}};
    std::int64_t stop_started_ms_ = 0;
    timer sigterm_;
    timer sigint_;
    timer sighup_;
    timer settings_timer_;
    timer drain_timer_;
    timer ends_timer_;
    timer descriptors_timer_;
    lost_host_watch lost_hosts_;
    timer lost_hosts_timer_;
    traffic_log traffic_log_;
    bool descriptors_short_ = false;
};

node::node(node_settings settings, node_options options, const file_stamp& stamp)
    : options_(std::move(options)), settings_stamp_(stamp), state_(std::move(settings)), callers_(state_),
      internal_(state_), caller_server_(state_.loop), ready_server_(state_.loop),
      internal_server_(state_.loop), metrics_server_(state_.loop),
      metrics_listener_(state_.loop, metrics_server_), lost_hosts_(state_), traffic_log_(state_)
{
    state_.store = std::make_unique<adapter::store_client>(state_.transport);
    state_.homes = std::make_unique<job_homes>(*state_.store, state_.settings.partitions);
    state_.shards_of_services =
        std::make_unique<service_shards>(state_.loop, *state_.homes, state_.settings.partitions);
    state_.upgrade = std::make_unique<store_upgrade>(state_.loop, *state_.store, *state_.homes,
                                                     *state_.shards_of_services, state_.settings.partitions);
    state_.workers = std::make_unique<adapter::worker_client>(state_.client);
    auto policy_client =
        std::make_unique<adapter::advice_client>(state_.client, state_.settings.policy_address);
    policy_client_ = policy_client.get();
    state_.policy_service = std::move(policy_client);
    state_.advice = std::make_unique<advice_queue>(*state_.policy_service);
    use_host_service();
    state_.release_shard = [this](int shard, std::int64_t epoch) {
        const auto found = state_.shards.find(shard);
        if (found != state_.shards.end() && found->second->epoch() < epoch) {
            log_event(log_level::info, "shard_released",
                      {{"shard", shard}, {"epoch", found->second->epoch()}, {"newer", epoch}});
            drop_shard(shard);
            state_.group->release(shard);
        }
    };
    state_.registrations_until = [this] {
        // Until then the owners are not given the registrations that this node has read.
        const bool passed_on = state_.config != nullptr && state_.upgrade->complete();
        return passed_on && registry_follower_ ? registry_follower_->known_until_ms() : 0;
    };
    const build_info build = program_build();
    state_.counters.add_info("waxwingnotch_build_info", "What the program was built from",
                             {{"version", build.version}, {"sources", build.sources}});
    caller_server_.limit_body(cluster_config().max_body_bytes);  // until a configuration is read
    internal_server_.limit_body(max_peer_body_bytes);
    caller_server_.count_traffic(state_.traffic, traffic_class::callers);
    internal_server_.count_traffic(state_.traffic, traffic_class::peers);
    ready_server_.count_traffic(state_.traffic, traffic_class::other);
    metrics_server_.count_traffic(state_.traffic, traffic_class::other);
    for (http_server* server : {&caller_server_, &internal_server_, &ready_server_, &metrics_server_}) {
        server->share_link(state_.budget);
    }
    ready_server_.limit_body(0);
    metrics_server_.limit_body(max_metrics_body_bytes);
    caller_server_.handle([this](const http_exchange_ptr& exchange) { callers_.handle(exchange); });
    internal_server_.handle([this](const http_exchange_ptr& exchange) { internal_.handle(exchange); });
    ready_server_.handle([this](const http_exchange_ptr& exchange) {
        exchange->reply(exchange->path() != adapter::ready_path ? 404 : ready() ? 200 : 503, {}, "");
    });
    metrics_server_.handle([this](const http_exchange_ptr& exchange) {
        update_metrics(state_);
        exchange->reply(200, {{"Content-Type", "text/plain"}}, state_.counters.render());
    });
}

result<bool> node::listen()
{
    return listen_with_retries({{&internal_server_, state_.settings.internal_address, "entry nodes"},
                                {&caller_server_, state_.settings.caller_address, "client accounts"},
                                {&ready_server_, state_.settings.ready_address, "the balancer"}},
                               state_.settings.drain_grace_ms + listen_margin_ms);
}

bool node::ready() const
{
    return state_.config != nullptr && state_.upgrade->complete() && !state_.stopping && !descriptors_short_;
}

/// Accepts no callers while descriptors are short, so that enough are left for calls to the store, the
/// workers and the other nodes. The balancer sends new connections elsewhere meanwhile.
void node::guard_descriptors()
{
    const std::int64_t told = state_.settings.max_descriptors;
    const std::int64_t allowed = process_descriptor_limit();
    const std::int64_t limit = told > 0 ? std::min(told, allowed) : allowed;
    const bool used_up = descriptors_short(limit, descriptors_short_);
    if (used_up == descriptors_short_) {
        return;
    }
    descriptors_short_ = used_up;
    caller_server_.set_accepting(!used_up);
    log_event(log_level::warning, "descriptors",
              {{"limit", limit}, {"outcome", used_up ? "accepts no callers" : "accepts callers again"}});
}

void node::follow_operator_topic()
{
    operator_follower_ = std::make_unique<keyed_follower>(
        state_.loop, *state_.store,
        follow_options{.topic = adapter::operator_topic,
                       .partition = 0,
                       .long_poll_ms = configuration_wait_ms,
                       .read_interval_ms = 0,
                       .max_answer_kb = operator_answer_kb,
                       .newest_only_key = adapter::configuration_key},
        keyed_follower::handlers{.record = [this](const keyed_record& record) { on_operator_record(record); },
                                 .after_read = nullptr});
    operator_follower_->start();
}

/// Starts or stops following the worker registrations. Each worker writes its registration with every
/// heartbeat, so a reserve, which owns no shards and has a small processor, does not read them.
void node::enable_registry_follower(bool enabled)
{
    if (enabled == (registry_follower_ != nullptr)) {
        return;
    }
    registry_follower_.reset();
    state_.registry.clear();
    if (!enabled) {
        return;
    }
    registry_follower_ = std::make_unique<keyed_follower>(
        state_.loop, *state_.store,
        follow_options{.topic = adapter::workers_topic, .partition = 0, .read_interval_ms = registry_poll_ms},
        keyed_follower::handlers{.record = [this](const keyed_record& record) { on_worker_record(record); },
                                 .after_read = nullptr});
    registry_follower_->start();
}

void node::on_operator_record(const keyed_record& record)
{
    if (!record.value) {
        return;
    }
    if (record.key == adapter::configuration_key) {
        auto config = adapter::decode_configuration(*record.value);
        if (!config) {
            note_rejected_input(input_source::operator_record, record.key, config.error().message);
            return;
        }
        // Versions rise, so a record that is read again or is older has no effect.
        if (state_.config && config.value().version <= state_.config->version) {
            return;
        }
        use_configuration(std::move(config.value()));
        return;
    }
    if (record.key.starts_with(adapter::wave_prefix)) {
        auto wave = adapter::decode_wave(*record.value);
        if (!wave) {
            note_rejected_input(input_source::operator_record, record.key, wave.error().message);
            return;
        }
        state_.wave_seen_ms.try_emplace(wave.value().number, monotonic_ms());
        state_.waves[wave.value().number] = std::move(wave.value());
    }
}

/// Puts a version in force. Requests for services whose shards are not known yet are refused until they are.
void node::use_configuration(cluster_config config)
{
    state_.config = std::make_shared<const cluster_config>(std::move(config));
    log_event(log_level::info, "configuration",
              {{"version", state_.config->version},
               {"queues", state_.config->queues.size()},
               {"services", state_.config->services.size()},
               {"services_hash", hash_services(*state_.config)},
               {"outcome", "in force"}});
    caller_server_.limit_body(state_.config->max_body_bytes);
    caller_server_.set_idle_timeout(state_.config->idle_timeout_ms);
    const std::vector<std::string> services = state_.config->service_names();
    const bool known_before = std::ranges::all_of(services, [&](const std::string& service) {
        return state_.shard_of(service) != service_shards::no_shard;
    });
    configure_shards();
    const auto ensure_services = [this, services, known_before] {
        state_.shards_of_services->ensure(services, [this, known_before] {
            if (!known_before) {
                configure_shards();  // with the workers of the new services
            }
        });
    };
    state_.upgrade->run(state_.config, {.done = ensure_services, .unsupported = [this](int format) {
                                            end_ = {.reason = "store format",
                                                    .detail = "the store has format " +
                                                              std::to_string(format) +
                                                              ", this version reads formats up to " +
                                                              std::to_string(store_format),
                                                    .status = 1};
                                            state_.loop.stop();
                                        }});
}

void node::configure_shards()
{
    for (auto& [shard, owner] : state_.shards) {
        configure_shard(shard, *owner);
    }
}

/// Passes the configuration and the registered workers of the shard's services to its owner.
void node::configure_shard(int shard, shard_owner& owner)
{
    owner.set_config(state_.config);
    if (state_.upgrade->complete()) {
        owner.expect_jobs(state_.upgrade->jobs_to_hand_over(shard));
        std::map<std::string, int> shards = state_.homes->services();
        std::erase_if(shards, [&](const auto& entry) { return entry.second >= state_.settings.partitions; });
        owner.set_service_shards(std::move(shards));
    }
    for (const auto& [id, entry] : state_.registry) {
        if (state_.shard_of(entry.service) == shard) {
            owner.put_worker(entry);
        }
    }
}

void node::on_worker_record(const keyed_record& record)
{
    result<worker_entry> entry = record.value ? adapter::decode_worker(record.key, *record.value)
                                              : result<worker_entry>(fail(error_code::not_found, "removed"));
    if (!entry) {
        if (record.value) {
            note_rejected_input(input_source::worker_entry, record.key, entry.error().message);
            return;
        }
        state_.registry.erase(record.key);
        for (auto& [shard, owner] : state_.shards) {
            owner->remove_worker(record.key);
        }
        return;
    }
    const auto before = state_.registry.find(record.key);
    if (before != state_.registry.end() && before->second.service != entry.value().service &&
        before->second.started_ms == entry.value().started_ms) {
        note_rejected_input(input_source::worker_entry, record.key, "the service changed without a restart");
        return;
    }
    state_.registry[record.key] = entry.value();
    if (!state_.config) {
        return;
    }
    const int home = state_.shard_of(entry.value().service);
    if (home == service_shards::no_shard) {
        return;  // the homes are not known yet; configure_shards() follows
    }
    for (auto& [shard, owner] : state_.shards) {
        if (shard == home) {
            owner->put_worker(entry.value());
        }
        else {
            // It may have started again in another service.
            owner->leave_worker(record.key, entry.value().started_ms);
        }
    }
}

void node::join_group()
{
    state_.group = std::make_unique<shard_group>(
        state_.loop, *state_.store,
        shard_group::options{.topic = runs_topic,
                             .address = state_.settings.internal_address,
                             .start_ms = wall_ms(),
                             .partitions = state_.settings.partitions,
                             .processor_milli = state_.settings.processor_milli,
                             .ttl_ms = std::max<std::int64_t>(1'500, state_.settings.min_ttl_ms)},
        shard_group::handlers{
            .gained = [this](int shard, std::int64_t epoch) { take_shard(shard, epoch); },
            .lost = [this](int shard) { drop_shard(shard); },
            .owners_changed = [this] { update_peers(); },
            .left = [this] { request_peer_joins(); },
            .role_changed = [this](bool reserve) { enable_registry_follower(!reserve); },
            .last_peer_answer_ms = [this] { return state_.transport.last_peer_answer_ms(); },
            .known_peers = [this] { return state_.transport.peers(); },
            .ask_peer = [this](const std::string& address,
                               auto done) { ask_peer_report(state_, address, std::move(done)); },
            .confirm =
                [this](int shard) {
                    if (shard_owner* owner = state_.loaded_shard(shard)) {
                        owner->confirm();
                    }
                }});
    state_.group->start();
}

void node::take_shard(int shard, std::int64_t epoch)
{
    shard_options options{.shard = shard,
                          .epoch = epoch,
                          .lease_ms = std::min(worker_lease_ms, state_.settings.max_lease_ms),
                          .max_lease_ms = state_.settings.max_lease_ms,
                          .ended_job_retention_ms = 2 * state_.settings.status_retention_ms,
                          .max_registrations_age_ms = age_limit_ms(state_.settings.worker_drain_ms),
                          .max_jobs_age_ms = age_limit_ms(state_.settings.cancel_ms),
                          .max_open_start_bytes = open_start_bytes(budgeted_kbps(state_.settings)),
                          .max_record_bytes = state_.settings.max_record_bytes};
    const bool relays_starts = start_relay::useful_for(state_.settings.link_kbps);
    auto owner = std::make_unique<shard_owner>(
        shard_owner::parts{
            &state_.loop, state_.store.get(), state_.workers.get(), state_.advice.get(),
            state_.settings.internal_address,
            [this](const std::string& address, int number, std::int64_t owner_epoch,
                   std::function<void(bool)> done) {
                request_release(address, number, owner_epoch, std::move(done));
            },
            [this](int other, keyed_record record, std::function<void(store_status)> done) {
                state_.store_job_record(other, std::move(record), std::move(done));
            },
            [this](int other, const std::string& id, std::function<void(std::optional<bool>)> done) {
                ask_for_job(other, id, std::move(done));
            },
            [this](const stored_job& job) { state_.upgrade->add_late(job); }, state_.registrations_until,
            [this](const relay_route& route, const worker_target& worker, const poll_order& order,
                   worker_api::handler<poll_answer> done) {
                relay_poll(state_, route, worker, order, std::move(done));
            },
            [this](const relay_route& route, const worker_target& worker, const stop_order& order,
                   worker_api::handler<order_answer> done) {
                relay_stop(state_, route, worker, order, std::move(done));
            },
            relays_starts
                ? [this](const start_batch& batch,
                         batch_handler done) { return state_.starts.send(batch, std::move(done)); }
                : std::function<bool(const start_batch&, batch_handler)>(),
            relays_starts
                ? [this] {
                      const std::int64_t direct = open_start_bytes(state_.settings.link_kbps);
                      return state_.starts.available() ? relayed_starts_factor * direct : direct;
                  }
                : std::function<std::int64_t()>(),
            [this] { return state_.group->renew_until_ms(); },
            // Nodes that hold the shard in one generation have one epoch, which is the token; only the one
            // whose claim is stored may act.
            [this, shard, epoch] {
                if (shard == state_.settings.partitions - 1) {
                    host_manager_ = std::make_unique<host_manager>(state_, epoch);
                }
            }},
        shard, options, [this, shard, epoch] { state_.release_shard(shard, epoch + 1); });
    if (state_.config) {
        configure_shard(shard, *owner);
    }
    shard_owner& started = *owner;
    state_.shards[shard] = std::move(owner);
    started.start();
}

/// Asks the owner of @p shard whether it knows a job; @p done receives nothing without a certain answer.
void node::ask_for_job(int shard, const std::string& id, std::function<void(std::optional<bool>)> done)
{
    query_job(state_, shard, id, peer_timeout_ms,
              [done = std::move(done), asked_ms = monotonic_ms()](const job_answer& answer) {
                  const bool certain =
                      answer.answered && (answer.known || answer.complete_until_ms > asked_ms);
                  done(certain ? std::optional(answer.known) : std::nullopt);
              });
}

/// Asks another node to release a shard that this node owns with @p epoch.
void node::request_release(const std::string& address, int shard, std::int64_t epoch,
                           std::function<void(bool)> done)
{
    const std::string path = "/shard/release?shard=" + std::to_string(shard) +
                             "&epoch=" + std::to_string(epoch) + "&owner=" + state_.settings.internal_address;
    post_to_peer(state_, address, path, {}, std::move(done));
}

/// Asks all peers to join the group now, so that they take over this node's shards without waiting for
/// their next periodic join.
void node::request_peer_joins()
{
    for (const std::string& peer : state_.transport.peers()) {
        post_to_peer(state_, peer, "/group/join", {}, [](bool) {});
    }
}

void node::drop_shard(int shard)
{
    const auto found = state_.shards.find(shard);
    if (found != state_.shards.end()) {
        keep_unstored_ends(state_, shard, *found->second);
    }
    state_.shards.erase(shard);
    if (shard == state_.settings.partitions - 1) {
        host_manager_.reset();
    }
}

void node::update_peers()
{
    std::vector<std::string> peers = state_.group ? state_.group->peers() : std::vector<std::string>();
    for (const std::string& seed : state_.settings.seeds) {
        if (seed != state_.settings.internal_address &&
            std::find(peers.begin(), peers.end(), seed) == peers.end()) {
            peers.push_back(seed);
        }
    }
    // Each node starts with another peer, so that relayed calls spread over the peers.
    if (!peers.empty()) {
        const std::size_t first = stable_hash(state_.settings.internal_address) % peers.size();
        std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(first), peers.end());
    }
    state_.transport.set_peers(std::move(peers));
}

/// Takes the address of the host service from the settings. A node whose settings name none manages no hosts.
void node::use_host_service()
{
    const std::string& address = state_.settings.host_service_address;
    if (address.empty()) {
        return;
    }
    if (host_client_ != nullptr) {
        host_client_->set_address(address);
        return;
    }
    auto client = std::make_unique<adapter::host_client>(state_.client, address);
    host_client_ = client.get();
    state_.hosts = std::move(client);
}

void node::reload()
{
    std::vector<std::string> unusable;
    settings_stamp_ = stamp_of(options_.settings_file);
    auto settings = read_settings(options_.settings_file, unusable, state_.settings);
    if (!settings) {
        log_event(log_level::error, "reload",
                  {{"outcome", "kept the old settings"}, {"reason", settings.error().message}});
        return;
    }
    log_unusable_settings(unusable, "kept the old values");
    const settings_changes changes = take_over(state_.settings, settings.value());
    state_.transport.set_address(state_.settings.store_address);
    policy_client_->set_address(state_.settings.policy_address);
    use_host_service();
    update_peers();
    log_reload(state_.settings, changes);
}

void node::stop()
{
    if (state_.stopping) {
        return;
    }
    state_.stopping = true;
    stop_started_ms_ = monotonic_ms();
    log_event(log_level::info, "stop", {{"state", "draining"}, {"open", caller_server_.open_exchanges()}});
    if (state_.group) {
        state_.group->leave();
    }
    drain_timer_ = state_.loop.every(drain_check_ms, [this] {
        const std::int64_t elapsed_ms = monotonic_ms() - stop_started_ms_;
        const bool idle = caller_server_.open_exchanges() == 0 && elapsed_ms >= min_drain_ms;
        if (idle || elapsed_ms >= state_.settings.drain_grace_ms - kill_margin_ms) {
            log_event(log_level::info, "stop",
                      {{"state", "done"}, {"open", caller_server_.open_exchanges()}, {"ms", elapsed_ms}});
            state_.loop.stop();
        }
    });
}

node_end node::run()
{
    const build_info build = program_build();
    log_event(log_level::info, "start",
              {{"version", build.version},
               {"sources", build.sources},
               {"data_centre", state_.settings.data_centre},
               {"store", state_.settings.store_address}});
    const auto listening = listen();
    if (!listening) {
        return {.reason = "cannot listen", .detail = listening.error().message, .status = 1};
    }
    if (!listening.value()) {
        return {.reason = "stopped", .detail = "by a signal while the ports were in use"};
    }
    // Without a usable `ip` there is no metrics page: evhttp would look a name up, which blocks the loop.
    if (options_.metrics_port != 0 && !state_.settings.ip.empty()) {
        metrics_listener_.start(state_.settings.ip, options_.metrics_port, "metrics");
    }
    update_peers();
    sigterm_ = state_.loop.on_signal(SIGTERM, [this] { stop(); });
    sigint_ = state_.loop.on_signal(SIGINT, [this] { stop(); });
    sighup_ = state_.loop.on_signal(SIGHUP, [this] { reload(); });
    release_control_signals();
    settings_timer_ = state_.loop.every(settings_check_ms, [this] {
        if (stamp_of(options_.settings_file) != settings_stamp_) {
            reload();
        }
    });
    follow_operator_topic();
    join_group();
    ends_timer_ = state_.loop.every(ends_retry_ms, [this] { deliver_ends(state_); });
    descriptors_timer_ = state_.loop.every(descriptors_check_ms, [this] { guard_descriptors(); });
    lost_hosts_timer_ = state_.loop.every(lost_hosts_check_ms, [this] { lost_hosts_.check(); });
    state_.watch.start();
    traffic_log_.start();
    state_.loop.run();
    host_manager_.reset();
    state_.shards.clear();
    return end_;
}

/// Runs a node in a scope of its own, so that its end is reported after its parts are gone.
node_end run_with_settings(const node_options& options)
{
    std::vector<std::string> unusable;
    const file_stamp stamp = stamp_of(options.settings_file);
    auto settings = read_settings(options.settings_file, unusable);
    if (!settings) {
        return {"settings", options.settings_file + ": " + settings.error().message, 1};
    }
    set_crash_report_node(settings.value().name);
    init_log({.level = log_level::info, .file = {}, .node = settings.value().name, .standard_output = true});
    log_unusable_settings(unusable, "defaults used");
    node process(std::move(settings.value()), options, stamp);
    return process.run();
}

}  // namespace

int run_node(const node_options& options)
{
    log_libevent_messages();
    const node_end end = run_with_settings(options);
    flush_log();
    report_process_end(end.reason, end.detail, end.status);
    return end.status;
}

}  // namespace waxwingnotch
