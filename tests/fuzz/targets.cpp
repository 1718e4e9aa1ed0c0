#include "targets.hpp"

#include "answers.hpp"
#include "documents.hpp"
#include "fleet/audit_json.hpp"
#include "fleet/document_patch.hpp"
#include "store_client.hpp"

#include "waxwingnotch/base/address.hpp"
#include "waxwingnotch/config/json.hpp"
#include "waxwingnotch/config/parse.hpp"
#include "waxwingnotch/fleet/snapshot.hpp"
#include "waxwingnotch/job/progress.hpp"
#include "waxwingnotch/net/websocket_codec.hpp"
#include "waxwingnotch/peer/messages.hpp"
#include "waxwingnotch/platform/log_follower.hpp"

#include <openssl/evp.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

namespace waxwingnotch::fuzz {

namespace {

/// Ends the process if a property of an accepted input does not hold.
void require(bool holds, const char* property)
{
    if (!holds) {
        std::cerr << "property does not hold: " << property << "\n";
        std::abort();
    }
}

bool read_settings(std::string_view input)
{
    const auto settings = adapter::decode_settings(input);
    if (settings) {
        require(settings.value().partitions > 0, "the number of partitions is positive");
    }
    return settings.has_value();
}

bool read_configuration(std::string_view input)
{
    const auto config = adapter::decode_configuration(input);
    if (config) {
        const auto& services = config.value().services;
        require(std::is_sorted(services.begin(), services.end(),
                               [](const auto& a, const auto& b) { return a.name < b.name; }),
                "services are sorted");
        require(config.value().max_body_bytes >= 1'024, "the limit of a body is at least 1 KB");
    }
    return config.has_value();
}

bool read_worker(std::string_view input)
{
    return adapter::decode_worker("worker", input).has_value();
}

bool read_wave(std::string_view input)
{
    const auto wave = adapter::decode_wave(input);
    if (wave) {
        require(wave.value().max_down > 0, "a wave allows at least one host");
    }
    return wave.has_value();
}

/// The record of an accepted job must be readable by the next owner of its shard.
bool read_job_body(std::string_view input)
{
    auto job = adapter::decode_job_body(input);
    if (job) {
        job.value().id = "0123456789abcdef";  // a submission has it in its path
        require(decode_job(encode_job(job.value())).has_value(), "the record of an accepted job is readable");
    }
    return job.has_value();
}

bool read_records(std::string_view input)
{
    std::vector<keyed_record> records;
    const bool complete = adapter::decode_records(input, 0, records);
    for (const keyed_record& record : records) {
        require(record.key.size() <= 255, "a key has at most 255 bytes");
    }
    return complete;
}

bool read_job(std::string_view input)
{
    const auto job = decode_job(input);
    if (job) {
        const std::string bytes = encode_job(job.value());
        const auto again = decode_job(bytes);
        require(again && encode_job(again.value()) == bytes, "a job is the same after its record");
    }
    return job.has_value();
}

bool read_progress(std::string_view input)
{
    const auto progress = decode_progress(input);
    if (progress) {
        (void)progress.value().done();
        (void)progress.value().failed();
        const auto again = decode_progress(encode_progress(progress.value()));
        require(again.has_value(), "a record of progress is readable");
    }
    return progress.has_value();
}

bool read_task_name(std::string_view input)
{
    const auto name = parse_task_name(input);
    if (name) {
        const auto again = parse_task_name(to_string(name.value()));
        require(again && to_string(again.value()) == to_string(name.value()), "a task's name is stable");
    }
    return name.has_value();
}

bool read_endpoint(std::string_view input)
{
    const auto parts = parse_endpoint(input);
    require(!parts || parts->ip.size() <= input.size(), "an address is part of the text");
    require(!is_connectable(input) || parts->port != 0, "a connectable address has a port");
    return parts.has_value();
}

bool read_peer_message(std::string_view input)
{
    const auto message = decode_peer_message(input);
    if (message) {
        require(decode_peer_message(encode(message.value())).has_value(), "a message is readable again");
    }
    return message.has_value();
}

bool read_log_record(std::string_view input)
{
    const auto value = decode(input);
    if (!value) {
        return false;
    }
    require(decode(encode(value.value())).has_value(), "a batch is readable again");
    fleet_state state;
    state.next_offset = std::clamp<std::int64_t>(value.value().seen_offset, 0, 1'000'000);
    (void)apply(state, {state.next_offset, 1, std::string(input)});
    (void)encode_state(state);
    return true;
}

bool read_state(std::string_view input)
{
    const auto state = decode_state(input);
    if (state) {
        require(decode_state(encode_state(state.value())).has_value(), "a state is readable again");
    }
    return state.has_value();
}

/// The first line of the input is the document, the rest is the patch.
bool read_patch(std::string_view input)
{
    const std::size_t end = input.find('\n');
    if (end == std::string_view::npos) {
        return false;
    }
    return patch_document(input.substr(0, end), input.substr(end + 1)).has_value();
}

bool read_log_entries(std::string_view input)
{
    return decode_entries(input).has_value();
}

bool read_audit_entries(std::string_view input)
{
    const auto entries = audit_entries_from_json(input);
    if (entries) {
        require(audit_entries_from_json(audit_entries_to_json(entries.value())).has_value(),
                "audit entries are readable again");
    }
    return entries.has_value();
}

bool read_inventory_json(std::string_view input)
{
    const auto machines = inventory_from_json(input);
    if (machines) {
        findings problems;
        check_consistency(machines.value(), {}, problems);
        require(inventory_from_json(inventory_to_json(machines.value())).has_value(),
                "an inventory is readable again");
    }
    return machines.has_value();
}

bool read_rules_json(std::string_view input)
{
    const auto rule_set = rules_from_json(input);
    if (rule_set) {
        findings problems;
        check_consistency({}, rule_set.value(), problems);
    }
    return rule_set.has_value();
}

bool read_settings_toml(std::string_view input)
{
    findings problems;
    (void)parse_settings(input, "settings.toml", problems);
    return !problems.has_errors();
}

bool read_inventory_toml(std::string_view input)
{
    findings problems;
    const inventory machines = parse_inventory(input, "inventory.toml", problems);
    check_consistency(machines, {}, problems);
    return !problems.has_errors();
}

bool read_rules_toml(std::string_view input)
{
    findings problems;
    const rules rule_set = parse_rules(input, "rules.toml", problems);
    if (!problems.has_errors()) {
        require(rules_from_json(rules_to_json(rule_set)).has_value(), "rules are readable as JSON");
    }
    return !problems.has_errors();
}

/// @param request opening handshake of a client
/// @return the answer that accepts it
std::string accepting_handshake(const std::string& request)
{
    constexpr std::string_view key_header = "Sec-WebSocket-Key: ";
    const std::size_t start = request.find(key_header) + key_header.size();
    const std::string text = request.substr(start, request.find('\r', start) - start) +
                             "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";  // fixed by RFC 6455
    std::array<unsigned char, SHA_DIGEST_LENGTH> digest{};
    SHA1(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::array<unsigned char, 4 * ((SHA_DIGEST_LENGTH + 2) / 3) + 1> encoded{};
    EVP_EncodeBlock(encoded.data(), digest.data(), SHA_DIGEST_LENGTH);
    return std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                       "Sec-WebSocket-Accept: ") +
           reinterpret_cast<const char*>(encoded.data()) + "\r\n\r\n";
}

/// Feeds the input in pieces, because TCP keeps no boundaries. An input for a client that does not start with
/// `HTTP` follows a handshake that the client accepts.
bool read_websocket(websocket_role role, std::string_view input)
{
    constexpr std::size_t max_message_bytes = 1U << 20U;
    constexpr std::size_t piece_bytes = 61;  // splits headers and payloads at varying places
    bool opened = false;
    bool closed = false;
    std::string written;
    const auto codec = make_websocket_codec(
        role,
        {[&](const char* data, std::size_t size) { written.append(data, size); }, [&] { opened = true; },
         [&](const std::string& message) {
             require(message.size() <= max_message_bytes, "a message is within the limit");
         },
         [&](const std::string&) {
             require(!closed, "the end is reported once");
             closed = true;
         }},
        max_message_bytes);
    codec->start();
    const bool accept = role == websocket_role::client && !input.starts_with("HTTP");
    const std::string bytes = (accept ? accepting_handshake(written) : "") + std::string(input);
    for (std::size_t at = 0; at < bytes.size() && !closed; at += piece_bytes) {
        const std::string_view piece = std::string_view(bytes).substr(at, piece_bytes);
        codec->feed(piece.data(), piece.size());
    }
    codec->end_of_stream();
    return opened;
}

bool read_websocket_server(std::string_view input)
{
    return read_websocket(websocket_role::server, input);
}

bool read_websocket_client(std::string_view input)
{
    return read_websocket(websocket_role::client, input);
}

constexpr target all_targets[] = {
    {"settings", input_form::json, read_settings},
    {"configuration", input_form::json, read_configuration},
    {"worker", input_form::json, read_worker},
    {"wave", input_form::json, read_wave},
    {"job_body", input_form::json, read_job_body},
    {"records", input_form::bytes, read_records},
    {"job", input_form::cbor, read_job},
    {"progress", input_form::cbor, read_progress},
    {"task_name", input_form::text, read_task_name},
    {"endpoint", input_form::text, read_endpoint},
    {"peer_message", input_form::cbor, read_peer_message},
    {"log_record", input_form::cbor, read_log_record},
    {"state", input_form::cbor, read_state},
    {"patch", input_form::json, read_patch},
    {"log_entries", input_form::cbor, read_log_entries},
    {"audit_entries", input_form::json, read_audit_entries},
    {"inventory_json", input_form::json, read_inventory_json},
    {"rules_json", input_form::json, read_rules_json},
    {"settings_toml", input_form::text, read_settings_toml},
    {"inventory_toml", input_form::text, read_inventory_toml},
    {"rules_toml", input_form::text, read_rules_toml},
    {"websocket_server", input_form::bytes, read_websocket_server},
    {"websocket_client", input_form::bytes, read_websocket_client},
    {"answers", input_form::json, read_answer},
    {"http_request", input_form::text, read_http_request},
    {"http_answer", input_form::text, read_http_answer},
};

}  // namespace

std::span<const target> targets()
{
    return all_targets;
}

const target* find_target(std::string_view name)
{
    const auto found = std::find_if(std::begin(all_targets), std::end(all_targets),
                                    [&](const target& item) { return item.name == name; });
    return found == std::end(all_targets) ? nullptr : found;
}

}  // namespace waxwingnotch::fuzz
