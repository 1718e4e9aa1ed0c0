#include "waxwingnotch/platform/segment_reader.hpp"

#include "waxwingnotch/platform/log_follower.hpp"

namespace waxwingnotch {

namespace {

constexpr std::int64_t read_timeout_ms = 10'000;

result<audit_segment> extract_segment(const http_answer& answer, std::int64_t index)
{
    if (answer.outcome == call_outcome::answered && answer.status == 410) {
        return fail(error_code::gone, "the log has removed its last copy");
    }
    if (answer.outcome != call_outcome::answered || answer.status != 200) {
        return fail(error_code::unavailable, "the log does not answer");
    }
    const auto entries = decode_entries(answer.body);
    if (!entries || entries.value().empty()) {
        return fail(error_code::unavailable, "the log's answer cannot be read");
    }
    const auto value = decode(entries.value().front().bytes);
    if (value) {
        for (const record& item : value.value().records) {
            const auto* segment = std::get_if<audit_segment>(&item);
            if (segment != nullptr && segment->index == index) {
                return *segment;
            }
        }
    }
    return fail(error_code::not_found, "another record stands at its offset");
}

}  // namespace

void read_segment(http_client& client, const std::string& address, const fleet_state& state,
                  std::size_t index, std::function<void(const result<audit_segment>&)> done)
{
    http_call call;
    call.address = address;
    call.path = "/log/records?from=" + std::to_string(state.segments.at(index).offset) + "&max=1";
    call.timeout_ms = read_timeout_ms;
    call.reuse_connection = true;
    client.send(call, [index, done = std::move(done)](const http_answer& answer) {
        done(extract_segment(answer, static_cast<std::int64_t>(index)));
    });
}

}  // namespace waxwingnotch
