/// Inputs that the targets accept; the fuzzer starts from them.
#include "store_client.hpp"
#include "targets.hpp"

#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"
#include "waxwingnotch/fleet/snapshot.hpp"
#include "waxwingnotch/job/progress.hpp"
#include "waxwingnotch/peer/messages.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch::fuzz {

namespace {

using nlohmann::json;

constexpr const char* settings_json = R"({"nodeName":"n1","zone":"z","ip":"127.0.0.1",
"listenAddrs":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","control":"127.0.0.1:3"},
"seeds":["127.0.0.1:4"],"advice":"127.0.0.1:5","limits":{"cpuShare":0.5,"cores":2},
"platform":{"address":"127.0.0.1:6","parts":8,"ttlMinMs":1500},
"cloudApi":{"address":"127.0.0.1:7","dutyPerS":4},
"bounds":{"holdMaxMs":3000,"graceS":1.5,"leaseMs":800,"maintenanceS":6,"status_s":120}})";

constexpr const char* configuration_json =
    R"({"version":3,"routes":[{"name":"q","host":"h","pathPrefix":"/q/",
"service":"s","completionTargetMs":500,"stretch":2.5,"priority":1,"maxAttempts":3,"advice":{}}],
"services":[{"name":"t","enforcesCapacity":false},{"name":"s","standby":true}],
"limits":{"maxBodyBytes":4096}})";

constexpr const char* worker_json = R"({"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready",
"capacity":{"cpu":4000,"memMb":8000,"gpu":1},"born":1700000000000,"labels":["kind","rack"]})";

constexpr const char* wave_json = R"({"wave":7,"machines":["a","b"],"finishByS":20.5,"maxCount":2})";

constexpr const char* job_body_json = R"({"spec":"payload","repeatCount":3,"firstMs":5,"intervalMs":1000,
"steps":[{"count":2,"cpu":500,"memMb":64,"gpu":0,"estimateMs":300,"maxPerServer":1,"checkpointing":true},
{"count":1,"dependsOn":[0],"gang":true,"sameRack":true,"speculative":true,"fills":true,"requiredLabel":"r",
"dataRack":"d","image":"i","latencyTargetMs":50},{"longRunning":true,"missAllowed":1,"dependsOn":[0,1]}]})";

job_spec example_job()
{
    job_spec job;
    job.id = "0123456789abcdef";
    job.queue = "q";
    job.service = "s";
    job.payload = "p";
    job.steps.resize(2);
    job.steps[0].task_count = 2;
    job.steps[0].need = {1'000, 64, 1};
    job.steps[1].depends_on = {0};
    job.steps[1].max_unavailable = 1;
    job.steps[1].long_running = true;
    job.repeat_count = 2;
    job.interval_ms = 1'000;
    return job;
}

std::string example_progress()
{
    occurrence_progress progress = make_occurrence(example_job());
    progress.steps[0][0].phase = task_phase::done;
    progress.steps[0][0].last_run = 1;
    progress.steps[0][1] = {task_phase::active, 2, 1, {{2, {"w", 5}, true}}, "checkpoint", {1, 0, true}};
    add_given_up(progress.steps[0][1], 1);
    return encode_progress(progress);
}

heartbeat example_heartbeat()
{
    return {"n", 4, "dc", 9, 11, true, {"m"}, {"host"}, {3, 2, {{0, 4}, {7, 1}}}};
}

batch batch_of(record item)
{
    return {"w", 1, 1, 0, {std::move(item)}};
}

inventory example_inventory()
{
    inventory machines;
    machines.data_centres = {{"dc", "r"}};
    machines.racks = {{"rack", "dc"}};
    machines.pools = {{"pool", false}};
    machines.hosts = {{"host", "127.0.0.1:1", "rack", "pool"}};
    return machines;
}

rules example_rules()
{
    rules rule_set;
    rule_set.services.push_back({"service", "pool"});
    rule_set.teams.push_back({"team", 3});
    return rule_set;
}

std::vector<std::string> log_record_seeds()
{
    return {
        encode(batch_of(publish_record{document::inventory, 0, "a", "n", false,
                                       inventory_to_json(example_inventory()), "hash"})),
        encode(batch_of(host_record{host_action::drain, "host", "pool", "", 1, "r", {"other"}, {1, 1, "a"}})),
        encode(batch_of(condition_record{"host", host_condition::down, "evidence"})),
        encode(batch_of(wave_record{wave_action::start, 1, "r"})),
        encode(batch_of(claim_record{"key", "request"})),
        encode(batch_of(claim_end_record{"key", "request", claim_end::done})),
        encode(batch_of(snapshot_chunk{"id", 0, "\x01\xff"})),
        encode(batch_of(snapshot_done{"id", 1, 1, 1, "hash"})),
        encode(batch_of(audit_segment{0, "", "[]", "hash"})),
    };
}

std::string example_state()
{
    fleet_state state;
    state.next_offset = 5;
    state.claims["key"] = {};
    state.writers["w"] = {1, 2, 3};
    state.segments.push_back({"hash", 1, 2, 3});
    return encode_state(state);
}

std::vector<std::string> peer_message_seeds()
{
    return {
        encode(hello_message{example_heartbeat()}),
        encode(heartbeat_message{example_heartbeat()}),
        encode(records_message{{{4, 5, "bytes"}, {5, 6, ""}}}),
        encode(records_request_message{7}),
        encode(state_message{5, example_state()}),
        encode(key_query_message{1, "key", "request"}),
        encode(key_answer_message{1, true, 200, "done", "text/plain", "\x01\xff"}),
    };
}

std::string log_entries_seed()
{
    const std::string bytes = log_record_seeds().front();
    std::string body;
    json::to_cbor(json::array({json::array({3, 1'000, json::binary({bytes.begin(), bytes.end()})})}), body);
    return body;
}

/// @param which index of the call, as in read_answer()
std::string answer(char which, const std::string& body, char status = 0)
{
    return std::string{which, status} + body;
}

std::vector<std::string> answer_seeds()
{
    const std::string offsets("\0\0\0\0\0\0\0\2\0\0\0\0\0\0\0\0", 16);
    return {
        answer(0, R"({"clockMs":123456})"),
        answer(1, R"({"clockMs":123456})"),
        answer(2, R"({"clockMs":5,"born":7,"running":[["0000000000000000.0.0.0",1,"c",50,1.5]],
"finished":[[1,"0000000000000000.0.0.1",1,"done","c"],[2,"0000000000000000.0.0.2",3,"failed"]]})"),
        answer(3, R"({"allowedWorkers":[["w","ticket"]],"validityMs":2000})"),
        answer(4, R"({"machines":[{"machine":"m","pool":"p","state":"up","zone":"z","labels":["k","r"],
"capacity":{"cpu":4000,"memMb":100,"gpu":0},"id":"w"}],"nextToken":"2"})"),
        answer(4, R"({"machines":[{"machine":"m","pool":"p","state":"upkeep"}]})"),
        answer(5, R"({})"),
        answer(6, R"({"offset":4,"end":5,"sequence":2})"),
        answer(7, offsets + adapter::encode_records({{"k", "v", 0}, {"gone", std::nullopt, 1}})),
        answer(8, R"({"items":[{"key":"k","value":"dmFsdWU=","offset":3}],"more":true,"end":9})"),
        answer(9, R"({"generation":3,"parts":[["t",1,5],["t",2,-1]]})"),
        answer(10, R"({"parts":[["t",1,"m",5]]})"),
        answer(10, R"([["t",1,"m",5]])"),
    };
}

std::vector<std::string> settings_toml_seeds()
{
    return {R"([node]
id = "entry-1"
data_centre = "dc"
region = "r"
[listen]
address = "127.0.0.1:19001"
peer_address = "127.0.0.1:19011"
[platform]
log = "127.0.0.1:19020"
hosts = "127.0.0.1:19021"
retention_ms = 604800000
[limits]
drain_limit_ms = 30000
max_in_flight = 4096
[log]
level = "info"
[[peer]]
id = "entry-2"
address = "127.0.0.1:19012"
)"};
}

std::vector<std::string> read_example(const char* file)
{
    std::vector<std::string> found;
    for (const char* site : {"/resins/", "/tokachi/"}) {
        found.push_back(read_file(std::string(WAXWINGNOTCH_EXAMPLES) + site + file).value());
    }
    return found;
}

std::vector<std::string> websocket_seeds(const char* handshake)
{
    const std::string start(handshake);
    return {start, start + std::string("\x82\x03"
                                       "abc\x88\x00",
                                       7)};
}

}  // namespace

std::vector<std::string> seeds(std::string_view name)
{
    using list = std::vector<std::string>;
    const std::pair<std::string_view, list (*)()> table[] = {
        {"settings",
         [] {
             return list{settings_json};
         }},
        {"configuration",
         [] {
             return list{configuration_json};
         }},
        {"worker",
         [] {
             return list{worker_json};
         }},
        {"wave",
         [] {
             return list{wave_json};
         }},
        {"job_body",
         [] {
             return list{job_body_json, R"({"steps":[{}]})"};
         }},
        {"records",
         [] {
             return list{adapter::encode_records({{"k", "v", 0}, {"d", std::nullopt, 1}})};
         }},
        {"job",
         [] {
             return list{encode_job(example_job())};
         }},
        {"progress",
         [] {
             return list{example_progress()};
         }},
        {"task_name",
         [] {
             return list{"0123456789abcdef.0.1.2"};
         }},
        {"endpoint",
         [] {
             return list{"127.0.0.1:80", "[::1]:65535"};
         }},
        {"peer_message", peer_message_seeds},
        {"log_record", log_record_seeds},
        {"state",
         [] {
             return list{example_state()};
         }},
        {"patch",
         [] {
             return list{
                 "{\"a\":{\"b\":[1,2]}}\n[{\"op\":\"add\",\"path\":\"/a/c\",\"value\":1},"
                 "{\"op\":\"remove\",\"path\":\"/a/b/0\"},{\"op\":\"copy\",\"from\":\"/a\",\"path\":"
                 "\"/d\"},{\"op\":\"move\",\"from\":\"/d\",\"path\":\"/e\"},{\"op\":\"test\",\"path\":"
                 "\"/a/c\",\"value\":1},{\"op\":\"replace\",\"path\":\"/a/c\",\"value\":[]}]"};
         }},
        {"log_entries",
         [] {
             return list{log_entries_seed()};
         }},
        {"audit_entries",
         [] {
             return list{"[]"};
         }},
        {"inventory_json",
         [] {
             return list{inventory_to_json(example_inventory())};
         }},
        {"rules_json",
         [] {
             return list{rules_to_json(example_rules())};
         }},
        {"settings_toml", settings_toml_seeds},
        {"inventory_toml",
         [] {
             return read_example("inventory.toml");
         }},
        {"rules_toml",
         [] {
             return read_example("rules.toml");
         }},
        {"websocket_server",
         [] {
             return websocket_seeds("GET /v1/link HTTP/1.1\r\nHost: peer\r\nUpgrade: websocket\r\n"
                                    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
         }},
        {"websocket_client",
         [] {
             return list{std::string("\x82\x03"
                                     "abc\x89\x01x\x88\x00",
                                     10)};
         }},
        {"answers", answer_seeds},
        {"http_request",
         [] {
             return list{"GET /shard/job?id=1&shard=2 HTTP/1.1\r\nHost: h\r\n\r\n",
                         "POST /shard/ends?shard=0 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n[]",
                         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"};
         }},
        {"http_answer",
         [] {
             return list{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                         "HTTP/1.0 503 Busy\r\nConnection: close\r\n\r\nx"};
         }},
    };
    for (const auto& [known, make] : table) {
        if (known == name) {
            return make();
        }
    }
    return {};
}

}  // namespace waxwingnotch::fuzz
