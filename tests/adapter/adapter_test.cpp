/// Tests of the platform adapter: decoding of valid and invalid documents, and calls to workers.
#include "documents.hpp"
#include "store_client.hpp"
#include "worker_client.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>

namespace waxwingnotch::adapter {
namespace {

constexpr const char* settings_text = R"({"nodeName":"n1","zone":"dc1","ip":"127.0.0.1",
  "listenAddrs":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","control":"127.0.0.1:3"},
  "seeds":["127.0.0.1:3","127.0.0.2:3"],"limits":{"cpuShare":0.12,"cores":2},"advice":"127.0.0.1:9",
  "bounds":{"graceS":2.5,"holdMaxMs":6000,"maintenanceS":2},
  "platform":{"address":"127.0.0.1:4","parts":5,"ttlMinMs":700,"recordBytes":65536},"cloudApi":{"address":"127.0.0.1:5","dutyPerS":310},
  "newField":[1]})";

TEST(settings, are_decoded)
{
    const auto read = decode_settings(settings_text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().name, "n1");
    EXPECT_EQ(read.value().data_centre, "dc1");
    EXPECT_EQ(read.value().internal_address, "127.0.0.1:3");
    EXPECT_EQ(read.value().seeds.size(), 2U);
    EXPECT_EQ(read.value().processor_milli, 240);
    EXPECT_EQ(read.value().partitions, 5);
    EXPECT_EQ(read.value().min_ttl_ms, 700);
    EXPECT_EQ(read.value().max_record_bytes, 65'536U);
    EXPECT_EQ(read.value().drain_grace_ms, 2'500);
    EXPECT_EQ(read.value().max_lease_ms, 6'000);
    EXPECT_EQ(read.value().maintenance_ms, 2'000);
    EXPECT_EQ(read.value().host_orders_per_s, 310);
}

TEST(settings, a_host_service_that_takes_no_orders_is_an_error)
{
    auto text = nlohmann::json::parse(settings_text);
    text["cloudApi"]["dutyPerS"] = 0;
    const auto read = decode_settings(text.dump());
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().message.find("cloudApi.dutyPerS"), std::string::npos);
}

TEST(settings, unusable_required_addresses_and_numbers_are_errors)
{
    const auto message = [](const char* section, const char* name, const nlohmann::json& value) {
        auto text = nlohmann::json::parse(settings_text);
        text[section][name] = value;
        const auto read = decode_settings(text.dump());
        return read ? std::string() : read.error().message;
    };
    EXPECT_NE(message("platform", "address", "store.example:4").find("platform.address"), std::string::npos);
    EXPECT_NE(message("platform", "address", 4).find("platform.address"), std::string::npos);
    EXPECT_NE(message("listenAddrs", "front", "127.0.0.1:70000").find("listenAddrs.front"),
              std::string::npos);
    EXPECT_NE(message("listenAddrs", "ready", true).find("listenAddrs.ready"), std::string::npos);
    EXPECT_NE(message("platform", "parts", 1e300).find("platform.parts"), std::string::npos);
    EXPECT_NE(message("platform", "parts", "eight").find("platform.parts"), std::string::npos);
    EXPECT_EQ(message("bounds", "graceS", nullptr), "");
}

// An odd optional setting kept every node from starting.
TEST(settings, unusable_optional_fields_are_named_and_have_their_defaults)
{
    const node_settings defaults;
    const auto read = [](const char* path, const nlohmann::json& value) {
        auto text = nlohmann::json::parse(settings_text);
        text[nlohmann::json::json_pointer(path)] = value;
        std::vector<std::string> unusable;
        auto settings = decode_settings(text.dump(), &unusable);
        EXPECT_TRUE(settings) << path << " " << value;
        EXPECT_EQ(unusable.size(), 1U) << path << " " << value;
        std::string field = std::string(path).substr(1);
        std::replace(field.begin(), field.end(), '/', '.');
        EXPECT_EQ(unusable.empty() ? "" : unusable[0].substr(0, field.size()), field);
        return settings ? settings.value() : node_settings();
    };
    for (const nlohmann::json& value : {nlohmann::json("host.example:9"), nlohmann::json(9)}) {
        EXPECT_EQ(read("/advice", value).policy_address, "");
        EXPECT_EQ(read("/cloudApi/address", value).host_service_address, "");
        EXPECT_EQ(read("/ip", value).ip, "");
    }
    EXPECT_EQ(read("/zone", 1).data_centre, "");
    EXPECT_TRUE(read("/seeds", "127.0.0.1:3").seeds.empty());
    for (const nlohmann::json& value : {nlohmann::json(-1), nlohmann::json("many"), nlohmann::json(1e300)}) {
        EXPECT_EQ(read("/bounds/graceS", value).drain_grace_ms, defaults.drain_grace_ms);
        EXPECT_EQ(read("/bounds/holdMaxMs", value).max_lease_ms, defaults.max_lease_ms);
        EXPECT_EQ(read("/bounds/leaseMs", value).takeover_pause_ms, defaults.takeover_pause_ms);
        EXPECT_EQ(read("/bounds/maintenanceS", value).maintenance_ms, defaults.maintenance_ms);
        EXPECT_EQ(read("/bounds/status_s", value).status_retention_ms, defaults.status_retention_ms);
        EXPECT_EQ(read("/limits/cpuShare", value).processor_milli, 2'000);
        EXPECT_EQ(read("/limits/cores", value).processor_milli, 120);
        EXPECT_EQ(read("/limits/maxFds", value).max_descriptors, 0);
        EXPECT_EQ(read("/platform/ttlMinMs", value).min_ttl_ms, defaults.min_ttl_ms);
        EXPECT_EQ(read("/cloudApi/dutyPerS", value).host_orders_per_s, defaults.host_orders_per_s);
    }
    EXPECT_EQ(read("/bounds", 1).drain_grace_ms, defaults.drain_grace_ms);
}

// An odd setting in a file that is read again would have replaced a value in force by its default.
TEST(settings, unusable_optional_fields_keep_the_values_in_force)
{
    const auto before = decode_settings(settings_text);
    ASSERT_TRUE(before);
    const auto read = [&](const char* path, const nlohmann::json& value) {
        auto text = nlohmann::json::parse(settings_text);
        text[nlohmann::json::json_pointer(path)] = value;
        std::vector<std::string> unusable;
        const auto settings = decode_settings(text.dump(), &unusable, before.value());
        EXPECT_EQ(unusable.size(), 1U) << path;
        return settings ? settings.value() : node_settings();
    };
    EXPECT_EQ(read("/advice", "host.example:9").policy_address, "127.0.0.1:9");
    EXPECT_EQ(read("/advice", 9).policy_address, "127.0.0.1:9");
    EXPECT_EQ(read("/cloudApi/address", "5").host_service_address, "127.0.0.1:5");
    EXPECT_EQ(read("/cloudApi", 5).host_service_address, "127.0.0.1:5");
    EXPECT_EQ(read("/cloudApi", 5).host_orders_per_s, 310);
    EXPECT_EQ(read("/seeds", "127.0.0.1:3").seeds.size(), 2U);
    EXPECT_EQ(read("/bounds/graceS", "soon").drain_grace_ms, 2'500);
    EXPECT_EQ(read("/bounds", 1).max_lease_ms, 6'000);
    auto text = nlohmann::json::parse(settings_text);
    text["bounds"].erase("graceS");
    const auto without = decode_settings(text.dump(), nullptr, before.value());
    ASSERT_TRUE(without);
    EXPECT_EQ(without.value().drain_grace_ms, node_settings().drain_grace_ms);
}

// 1048576 is a usual limit of descriptors and kept the nodes from starting; the product of two numbers in
// range did not fit the integer.
TEST(settings, large_limits_are_clamped)
{
    auto text = nlohmann::json::parse(settings_text);
    text["limits"] = {{"maxFds", 1'048'576}, {"cpuShare", 10'000}, {"cores", 10'000}};
    std::vector<std::string> unusable;
    auto read = decode_settings(text.dump(), &unusable);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().max_descriptors, 1'048'576);
    EXPECT_EQ(read.value().processor_milli, 10'000'000);
    text["limits"]["maxFds"] = 1LL << 40U;
    read = decode_settings(text.dump(), &unusable);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().max_descriptors, std::numeric_limits<int>::max());
    EXPECT_TRUE(unusable.empty());
}

// One odd seed among usable ones kept the nodes from starting.
TEST(settings, seeds_that_are_no_addresses_are_left_out)
{
    auto text = nlohmann::json::parse(settings_text);
    text["seeds"] = {1, "127.0.0.1:3", nullptr, "nowhere", "127.0.0.2:3"};
    const auto read = decode_settings(text.dump());
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().seeds, (std::vector<std::string>{"127.0.0.1:3", "127.0.0.2:3"}));
}

TEST(settings, error_names_the_missing_field)
{
    auto text = nlohmann::json::parse(settings_text);
    text["listenAddrs"].erase("control");
    const auto read = decode_settings(text.dump());
    ASSERT_FALSE(read);
    EXPECT_NE(read.error().message.find("listenAddrs.control"), std::string::npos);
    EXPECT_FALSE(decode_settings("no json"));
    EXPECT_FALSE(decode_settings("[]"));
}

TEST(configuration, is_decoded_with_services_sorted)
{
    const auto read =
        decode_configuration(R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",
        "service":"s2","completionTargetMs":600,"priority":1,"maxAttempts":4,"stretch":1.6,"advice":{"decisionMs":5,"periodMs":-1}}],
        "services":[{"name":"s2","enforcesCapacity":false},{"name":"s1","standby":true}]})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().version, 7);
    ASSERT_EQ(read.value().queues.size(), 1U);
    EXPECT_EQ(read.value().queues[0].max_attempts, 4U);
    EXPECT_TRUE(read.value().queues[0].terms.needs_advice);
    EXPECT_EQ(read.value().queues[0].terms.advice_call_ms, 5);
    EXPECT_EQ(read.value().queues[0].terms.advice_worker_ms, 0);
    EXPECT_EQ(read.value().queues[0].terms.advice_valid_ms, 3'000);
    EXPECT_EQ(read.value().services[0].name, "s1");
    EXPECT_TRUE(read.value().services[0].standby);
    EXPECT_FALSE(read.value().services[1].enforces_capacity);
    EXPECT_FALSE(decode_configuration(R"({"routes":[]})"));
    EXPECT_FALSE(decode_configuration("\x00\x01"));
}

constexpr const char* worker_text =
    R"({"service":"s","address":"127.0.0.1:80","zone":"dc","state":"ready","capacity":{"cpu":16000,"memMb":100,"gpu":0},
        "labels":["a","r1-3"],"born":1700000000000})";

TEST(worker, is_decoded)
{
    const auto read = decode_worker("i-1", worker_text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().id, "i-1");
    EXPECT_EQ(read.value().rack, "r1-3");
    EXPECT_EQ(read.value().capacity.cpu_milli, 16'000);
    EXPECT_EQ(read.value().started_ms, 1'700'000'000'000);
    EXPECT_FALSE(read.value().draining);
}

TEST(worker, invalid_registration_is_rejected)
{
    const auto changed = [](const char* name, const nlohmann::json& value) {
        auto text = nlohmann::json::parse(worker_text);
        text[name] = value;
        return decode_worker("i-1", text.dump()).has_value();
    };
    EXPECT_FALSE(changed("state", "odd"));
    EXPECT_FALSE(changed("state", 1));
    EXPECT_FALSE(changed("service", nullptr));
    EXPECT_FALSE(changed("address", "nowhere"));
    EXPECT_FALSE(changed("address", 7));
    EXPECT_FALSE(changed("capacity", "much"));
    EXPECT_FALSE(changed("born", "today"));
    EXPECT_TRUE(changed("unknown", 1));
    EXPECT_FALSE(decode_worker("i-1", "\xff\xfe"));
    EXPECT_FALSE(decode_worker("i-1", "[1]"));
}

// One odd entry among those of the workers ended every node, or its numbers were taken as the largest
// integer.
TEST(worker, registration_with_odd_values_is_rejected)
{
    const auto changed = [](const char* name, const nlohmann::json& value) {
        auto text = nlohmann::json::parse(worker_text);
        text[name] = value;
        return decode_worker("i-1", text.dump()).has_value();
    };
    for (const nlohmann::json& value :
         {nlohmann::json(1e300), nlohmann::json(-1), nlohmann::json(1ULL << 63U)}) {
        EXPECT_FALSE(changed("capacity", {{"cpu", value}, {"memMb", 1}}));
        EXPECT_FALSE(changed("capacity", {{"cpu", 1}, {"memMb", value}}));
        EXPECT_FALSE(changed("born", value));
    }
    for (const char* address : {"127.0.0.1:70000", "127.0.0.1:0", "localhost:80", ":80", "127.0.0.1:-1"}) {
        EXPECT_FALSE(changed("address", address)) << address;
    }
    EXPECT_FALSE(changed("labels", {1, 2}));
    EXPECT_FALSE(decode_worker("i\r\n1", worker_text));
    EXPECT_FALSE(decode_worker("\xff", worker_text));
    EXPECT_FALSE(decode_worker("", worker_text));
    const std::string text = worker_text;
    constexpr std::size_t deep = 120'000;
    EXPECT_FALSE(decode_worker("i-1", text.substr(0, text.size() - 1) + R"(,"x":)" + std::string(deep, '[') +
                                          std::string(deep, ']') + "}"));
}

// A version beyond the range was taken as the largest integer, so every later version counted as older.
TEST(configuration, numbers_out_of_range_are_refused_with_their_field)
{
    const auto message = [](const char* text) {
        const auto read = decode_configuration(text);
        return read ? std::string() : read.error().message;
    };
    EXPECT_NE(message(R"({"version":1e300})").find("version"), std::string::npos);
    EXPECT_NE(message(R"({"version":-1})").find("version"), std::string::npos);
    EXPECT_NE(message(R"({"version":1,"routes":[{},{"stretch":1e300}]})").find("routes[1].stretch"),
              std::string::npos);
    EXPECT_NE(message(R"({"version":1,"routes":[{"maxAttempts":-1}]})").find("maxAttempts"),
              std::string::npos);
    EXPECT_NE(message(R"({"version":1,"routes":5})"), "");
    EXPECT_NE(message(R"({"version":1,"services":[null]})"), "");
    EXPECT_EQ(message(R"({"version":1,"routes":null})"), "");
    EXPECT_FALSE(decode_wave(R"({"wave":1e300})"));
    EXPECT_FALSE(decode_wave(R"({"wave":1,"finishByS":-1})"));
    EXPECT_FALSE(decode_wave(R"({"wave":1,"machines":[5]})"));
}

// A limit of the callers' connections out of range made the nodes refuse the whole configuration, its routes
// included.
TEST(configuration, limits_of_callers_are_clamped)
{
    const auto limits = [](const char* text) {
        const auto read = decode_configuration(std::string(R"({"version":1,"limits":)") + text + "}");
        EXPECT_TRUE(read) << text;
        return read ? read.value() : cluster_config();
    };
    EXPECT_EQ(limits(R"({"idleTimeoutMs":1})").idle_timeout_ms, 1'000);
    EXPECT_EQ(limits(R"({"idleTimeoutMs":-5})").idle_timeout_ms, 1'000);
    EXPECT_EQ(limits(R"({"idleTimeoutMs":1500})").idle_timeout_ms, 1'500);
    EXPECT_EQ(limits(R"({"maxBodyBytes":0})").max_body_bytes, 1'024U);
    EXPECT_EQ(limits(R"({"maxBodyBytes":1e300})").max_body_bytes, 64U << 20U);
    EXPECT_EQ(limits(R"({"maxBodyBytes":100000000})").max_body_bytes, 64U << 20U);
    EXPECT_EQ(limits(R"({"maxBodyBytes":5000})").max_body_bytes, 5'000U);
    EXPECT_FALSE(decode_configuration(R"({"version":1,"limits":{"maxBodyBytes":"many"}})"));
}

TEST(job_body, numbers_out_of_range_are_refused_with_their_field)
{
    const auto message = [](const std::string& text) {
        const auto read = decode_job_body(text);
        return read ? std::string() : read.error().message;
    };
    EXPECT_NE(message(R"({"steps":[{},{"cpu":1e300}]})").find("step 1.cpu"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{"memMb":"much"}]})").find("memMb"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{"estimateMs":-1}]})").find("estimateMs"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{}],"firstMs":9e18})").find("firstMs"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{}],"intervalMs":-1})").find("intervalMs"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{},{"dependsOn":[4294967296]}]})"), "");
    std::string many = R"({"steps":[{})";
    for (std::size_t step = 0; step < max_steps; ++step) {
        many += ",{}";
    }
    EXPECT_NE(message(many + "]}").find("1001 steps"), std::string::npos);
}

TEST(job_body, a_dependency_that_is_repeated_is_kept_once)
{
    const auto read = decode_job_body(R"({"steps":[{},{},{"dependsOn":[1,0,1,0,1]}]})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().steps[2].depends_on, (std::vector<std::uint32_t>{0, 1}));
}

TEST(job_body, is_decoded)
{
    const auto read =
        decode_job_body(R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,
        "dataRack":"r1-3"},{"count":20,"cpu":2000,"dependsOn":[0],"checkpointing":true,"longRunning":true,
        "missAllowed":2}],"repeatCount":3,"firstMs":5,"intervalMs":7})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().payload, "text");
    EXPECT_EQ(read.value().steps[0].data_rack, "r1-3");
    EXPECT_EQ(read.value().steps[1].depends_on, (std::vector<std::uint32_t>{0}));
    EXPECT_EQ(read.value().steps[1].max_unavailable, 2U);
    EXPECT_FALSE(read.value().steps[0].max_unavailable.has_value());
    EXPECT_EQ(read.value().occurrences(), 3U);
}

TEST(job_body, error_names_the_step)
{
    const auto message = [](const char* text) {
        const auto read = decode_job_body(text);
        return read ? std::string() : read.error().message;
    };
    EXPECT_NE(message("nothing"), "");
    EXPECT_NE(message(R"({"spec":"x"})"), "");
    EXPECT_NE(message(R"({"steps":[]})"), "");
    EXPECT_NE(message(R"({"steps":[1]})").find("step 0"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{"count":-1}]})").find("step 0"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{"count":"two"}]})"), "");
    EXPECT_NE(message(R"({"steps":[{},{"dependsOn":[1]}]})").find("step 1"), std::string::npos);
    EXPECT_NE(message(R"({"steps":[{"dependsOn":["a"]}]})"), "");
    EXPECT_NE(message(R"({"steps":[{"dependsOn":3}]})"), "");
    EXPECT_NE(message(R"({"steps":[{}],"repeatCount":-2})"), "");
}

/// Replaces each field in turn by values of other types. No decoder may end the process.
TEST(documents, survive_fields_of_any_type)
{
    const std::vector<nlohmann::json> replacements = {
        nullptr, true, -1, 1.5, 1e300, "text", nlohmann::json::array({1, "a"}), nlohmann::json{{"a", 1}}};
    const auto try_all = [&](const char* text, const std::function<void(const std::string&)>& read) {
        const auto whole = nlohmann::json::parse(text);
        const auto flat = whole.flatten();
        for (const auto& [path, value] : flat.items()) {
            for (const nlohmann::json& replacement : replacements) {
                auto changed = whole;
                changed[nlohmann::json::json_pointer(path)] = replacement;
                read(changed.dump());
            }
        }
    };
    try_all(settings_text, [](const std::string& text) { (void)decode_settings(text); });
    try_all(worker_text, [](const std::string& text) { (void)decode_worker("i", text); });
    try_all(
        R"({"version":1,"routes":[{"name":"r","maxAttempts":1,"stretch":1}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":5}})",
        [](const std::string& text) { (void)decode_configuration(text); });
    try_all(R"({"wave":1,"machines":["m"],"finishByS":20,"maxCount":1})",
            [](const std::string& text) { (void)decode_wave(text); });
    try_all(
        R"({"spec":"x","steps":[{"count":1,"cpu":1,"dependsOn":[0],"gang":true,"maxPerServer":1}],"repeatCount":1})",
        [](const std::string& text) { (void)decode_job_body(text); });
}

RC_GTEST_PROP(records, read_back, ())
{
    std::vector<keyed_record> records;
    const int count = *rc::gen::inRange(0, 6);
    for (int at = 0; at < count; ++at) {
        keyed_record record{
            .key = *rc::gen::nonEmpty<std::string>(), .value = std::nullopt, .offset = 10 + at};
        record.key.resize(std::min<std::size_t>(record.key.size(), 200));
        if (*rc::gen::arbitrary<bool>()) {
            record.value = *rc::gen::nonEmpty<std::string>();
        }
        records.push_back(record);
    }
    std::vector<keyed_record> read;
    RC_ASSERT(decode_records(encode_records(records), 10, read));
    RC_ASSERT(read.size() == records.size());
    for (std::size_t at = 0; at < records.size(); ++at) {
        RC_ASSERT(read[at].key == records[at].key);
        RC_ASSERT(read[at].value == records[at].value);
        RC_ASSERT(read[at].offset == records[at].offset);
    }
}

TEST(records, truncated_ones_are_rejected)
{
    const std::string bytes = encode_records({{.key = "key", .value = "value"}});
    for (std::size_t size = 1; size < bytes.size(); ++size) {
        std::vector<keyed_record> read;
        EXPECT_FALSE(decode_records(std::string_view(bytes).substr(0, size), 0, read)) << size;
    }
}

/// Sends a poll to a server that answers with a given status and body.
class worker_calls : public testing::Test {
protected:
    poll_answer poll(int status, const std::string& body)
    {
        http_server server(loop);
        server.handle([&](const http_exchange_ptr& exchange) {
            sent = nlohmann::json::parse(exchange->body());
            instance = exchange->header("Expect-Instance").value_or("");
            exchange->reply(status, {}, body);
        });
        const std::string address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
        http_client client(loop);
        worker_client workers(client);
        poll_answer got;
        workers.poll({"i-1", address},
                     {.fencing_token = 7, .acknowledged_end = 3, .lease_until_ms = 99, .wait_ms = 10},
                     [&](const poll_answer& answer) {
                         got = answer;
                         loop.stop();
                     });
        loop.run();
        return got;
    }
    order_result poll_once(http_client& client, const std::string& address)
    {
        worker_client workers(client);
        order_result outcome = order_result::ok;
        workers.poll({"i-1", address}, {}, [&](const poll_answer& answer) {
            outcome = answer.outcome;
            loop.stop();
        });
        loop.run();
        return outcome;
    }
    event_loop loop;
    nlohmann::json sent;
    std::string instance;
};

TEST_F(worker_calls, a_poll_carries_lease_token_and_cursor)
{
    const poll_answer got = poll(200, R"({"clockMs":5,"born":9,"running":[["a.0.0.1",2,"cp",41,1.5]],
        "finished":[[58,"a.0.0.2",1,"broken",""],[59,"a.0.0.3",1,"alone","c"]]})");
    EXPECT_EQ(sent, (nlohmann::json{{"fencingToken", 7}, {"ackCursor", 3}, {"untilMs", 99}, {"waitMs", 10}}));
    EXPECT_EQ(instance, "i-1");
    EXPECT_EQ(got.outcome, order_result::ok);
    EXPECT_EQ(got.started_ms, 9);
    ASSERT_EQ(got.running.size(), 1U);
    EXPECT_EQ(got.running[0].percent, 41);
    EXPECT_EQ(got.running[0].recent_metric, 1.5);
    ASSERT_EQ(got.ended.size(), 2U);
    EXPECT_EQ(got.ended[0].kind, end_kind::gang_broken);
    EXPECT_EQ(got.ended[1].kind, end_kind::gang_incomplete);
}

TEST_F(worker_calls, refusals_map_to_distinct_results)
{
    EXPECT_EQ(poll(409, R"({"clockMs":5,"reason":"fence"})").outcome, order_result::fenced);
    EXPECT_EQ(poll(421, "{}").outcome, order_result::other_instance);
    EXPECT_EQ(poll(503, "").outcome, order_result::refused);
    EXPECT_EQ(poll(400, "?").outcome, order_result::invalid);
}

// Another status than those of the protocol counted as an order that the worker cannot read, and so as one
// that was not executed.
TEST_F(worker_calls, an_answer_that_the_protocol_does_not_name_is_no_proof)
{
    for (const int status : {404, 408, 409, 500, 502, 504}) {
        EXPECT_EQ(poll(status, "").outcome, order_result::unexplained) << status;
    }
}

// A crash and a cut-off worker looked alike, "no answer", so neither the log nor a decision could tell them
// apart.
TEST_F(worker_calls, tells_an_ended_process_from_one_that_does_not_answer)
{
    http_client client(loop);
    std::string address;
    {
        http_server server(loop);
        http_exchange_ptr held;
        bool closes = true;
        server.handle([&](const http_exchange_ptr& exchange) {
            held = exchange;
            if (closes) {
                exchange->close_without_reply();
            }
        });
        address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
        EXPECT_EQ(poll_once(client, address), order_result::disconnected);
        closes = false;
        EXPECT_EQ(poll_once(client, address), order_result::no_answer);
    }
    EXPECT_EQ(poll_once(client, address), order_result::not_listening);
}

// While versions of 290 KB arrived over a link of 2 Mbit/s, lists were answered after 0.4 s. All workers of
// the owner counted as silent, and their leases lapsed.
TEST_F(worker_calls, a_list_that_is_late_because_of_the_link_counts)
{
    constexpr std::int64_t late_ms = 700;
    constexpr std::int64_t narrow_kbps = 2'000;
    link_budget budget(narrow_kbps);
    http_server server(loop);
    timer later;
    server.handle([&](const http_exchange_ptr& exchange) {
        later = loop.after(
            late_ms, [exchange] { exchange->reply(200, {}, R"({"clockMs":5,"running":[],"finished":[]})"); });
    });
    const std::string address = "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value());
    http_client client(loop);
    client.share_link(budget);
    EXPECT_EQ(poll_once(client, address), order_result::no_answer);
    budget.add(traffic_class::configuration, {.sent = 0, .received = 290'000}, monotonic_ms());
    EXPECT_EQ(poll_once(client, address), order_result::ok);
}

// The clock of a worker was taken as it was, so its leases reached to the end of time.
TEST_F(worker_calls, an_answer_with_an_odd_clock_counts_as_no_answer)
{
    EXPECT_EQ(poll(200, R"({"clockMs":9223372036854775807})").outcome, order_result::no_answer);
    EXPECT_EQ(poll(200, R"({"clockMs":-1})").outcome, order_result::no_answer);
    EXPECT_EQ(poll(200, R"({"running":[]})").outcome, order_result::no_answer);
    EXPECT_EQ(poll(200, "no JSON").outcome, order_result::no_answer);
    EXPECT_EQ(poll(200, R"({"clockMs":1,"x":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}")
                  .outcome,
              order_result::no_answer);
}

TEST_F(worker_calls, progress_and_metric_out_of_range_are_cut_to_it)
{
    const poll_answer got = poll(200, R"({"clockMs":5,"running":[["a.0.0.4",1,"",1e300,1e300]],
        "finished":[[1e300,"a.0.0.1",1,"done",""],[0,"a.0.0.1",1,"done",""],[1,"a.0.0.1",-1,"done",""]]})");
    EXPECT_EQ(got.outcome, order_result::ok);
    ASSERT_EQ(got.running.size(), 1U);
    EXPECT_EQ(got.running[0].percent, 0);
    EXPECT_TRUE(got.ended.empty());
}

// A run whose row could not be read was taken as not listed, so its task would start a second time.
TEST_F(worker_calls, a_list_of_runs_that_cannot_be_read_whole_counts_as_no_answer)
{
    for (const char* rows : {R"([["a.0.0.1",1e300,"",1,1]])", R"([["a.0.0.2",-1,"",1,1]])",
                             R"([["a.0.0.3",4294967296,"",1,1]])", "[7]", "5", "null"}) {
        const poll_answer got =
            poll(200, std::string(R"({"clockMs":5,"finished":[],"running":)") + rows + "}");
        EXPECT_EQ(got.outcome, order_result::no_answer) << rows;
        EXPECT_TRUE(got.running.empty());
    }
    EXPECT_EQ(poll(200, R"({"clockMs":5,"finished":[]})").outcome, order_result::no_answer);
}

// A payload that is not UTF-8 in a stored record ended its owner by an exception at the first start.
TEST_F(worker_calls, a_payload_that_is_not_utf8_ends_no_process)
{
    http_client client(loop);
    worker_client workers(client);
    order_result outcome = order_result::ok;
    workers.start({"i-1", "127.0.0.1:1"}, {.task = "t", .payload = "\xff\xfe"},
                  [&](const order_answer& answer) {
                      outcome = answer.outcome;
                      loop.stop();
                  });
    loop.run();
    EXPECT_EQ(outcome, order_result::not_listening);
}

// One key of the store that is not UTF-8 made its whole page unreadable, so nothing of the topic was
// followed.
TEST(store_answers, a_key_that_is_not_utf8_does_not_hide_the_others)
{
    event_loop loop;
    http_server server(loop);
    std::string body;
    server.handle([&](const http_exchange_ptr& exchange) { exchange->reply(200, {}, body); });
    http_client client(loop);
    store_transport transport(client);
    transport.set_address("127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value()));
    store_client store(transport);
    const auto read = [&] {
        newest_page got;
        store.read_newest("keyed.op", 0, {}, [&](const newest_page& page) {
            got = page;
            loop.stop();
        });
        loop.run();
        return got;
    };
    for (const char* key : {"\xff\xfe", "\\ud800", "\\uDFFF"}) {
        body =
            std::string(R"({"items":[{"key":")") + key +
            R"(","value":"eA==","offset":1},{"key":"config","value":"eA==","offset":2}],"more":false,"end":3})";
        const newest_page got = read();
        EXPECT_EQ(got.status, store_status::ok) << key;
        ASSERT_EQ(got.records.size(), 2U);
        EXPECT_EQ(got.records[1].key, "config");
    }
    body = R"({"items":[],"more":false})";
    EXPECT_EQ(read().status, store_status::unknown);
    body = "[[[[";
    EXPECT_EQ(read().status, store_status::unknown);
}

/// Lists the hosts of a service that answers with a given body.
class host_calls : public testing::Test {
protected:
    host_listing list(const std::string& body)
    {
        http_server server(loop);
        server.handle([&](const http_exchange_ptr& exchange) { exchange->reply(200, {}, body); });
        http_client client(loop);
        host_client hosts(client, "127.0.0.1:" + std::to_string(server.listen("127.0.0.1", 0).value()));
        host_listing got;
        hosts.list([&](const host_listing& answer) {
            got = answer;
            loop.stop();
        });
        loop.run();
        return got;
    }
    event_loop loop;
};

// A row that is not an object, or a capacity that is none, ended the node with the host duty by an exception.
TEST_F(host_calls, rows_of_other_types_are_skipped)
{
    const host_listing got = list(R"({"machines":[5,null,[],{"machine":"a","capacity":null},{"machine":7},
        {"machine":"b","capacity":{"cpu":1e300}},{"machine":"c","pool":"p","state":"up","capacity":{"cpu":8}}],
        "nextToken":null})");
    ASSERT_TRUE(got.ok);
    ASSERT_EQ(got.hosts.size(), 1U);
    EXPECT_FALSE(got.complete);
    EXPECT_EQ(got.hosts[0].name, "c");
    EXPECT_EQ(got.hosts[0].capacity.cpu_milli, 8);
    EXPECT_FALSE(list(R"({"machines":"abc"})").ok);
    // A list that names the same next page for ever was read for ever.
    EXPECT_FALSE(list(R"({"machines":[{"machine":"a"}],"nextToken":"a b"})").ok);
    EXPECT_FALSE(
        list(R"({"machines":[],"x":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}").ok);
}

// A run that has ended stood in neither list, and its task started again.
TEST_F(worker_calls, an_answer_without_the_list_of_ends_is_none)
{
    EXPECT_EQ(poll(200, R"({"clockMs":5,"running":[]})").outcome, order_result::no_answer);
    EXPECT_EQ(poll(200, R"({"clockMs":5,"running":[],"finished":7})").outcome, order_result::no_answer);
}

TEST_F(worker_calls, invalid_rows_are_skipped)
{
    const poll_answer got = poll(
        200, R"({"clockMs":5,"running":[["a.0.0.1"],[1,2,3,4],7],"finished":[[1,"a.0.0.1",1,"odd",""],[]]})");
    EXPECT_TRUE(got.running.empty());
    EXPECT_TRUE(got.ended.empty());
}

}  // namespace
}  // namespace waxwingnotch::adapter
