#include "node/start_relay.hpp"

#include "node/node_state.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/json_fields.hpp"
#include "waxwingnotch/base/rejected_input.hpp"

#include <algorithm>
#include <limits>
#include <random>
#include <utility>

namespace waxwingnotch {

namespace {

using nlohmann::json;

// On the bench, a calm day of the grown site was worth 0.703 with links of 6 Mbit/s and 0.712 with 10, but
// 0.475 with 4.
constexpr std::int64_t narrow_link_kbps = 5'000;
// With 30 ms, a third of the starts went straight to their workers while the link was full.
constexpr std::int64_t worthwhile_ms = 10;  // of the link, for what it has to carry and the batch itself
constexpr std::int64_t full_link_ms = 80;   // of backlog, at which a node passes no starts on
// From the order of a start, in its time of order_margin_ms, 400 ms: how long the other node may send it to
// its worker, and by when the worker has to answer. The rest is for the way back. With 150 ms, a quarter of
// the starts came too late for it while the link of the owner was full.
constexpr std::int64_t last_start_ms = 250;
constexpr std::int64_t worker_answer_ms = 350;
constexpr std::int64_t worker_max_wait_ms = 50;  // for the link of the other node
constexpr std::int64_t batch_max_wait_ms = 50;   // for the link of the owner
constexpr std::int64_t batch_timeout_ms = 340;   // from the sending
static_assert(last_start_ms < worker_answer_ms && worker_answer_ms < order_margin_ms);
static_assert(batch_max_wait_ms + batch_timeout_ms < order_margin_ms);
constexpr std::int64_t max_clock_age_ms = 5'000;
constexpr std::int64_t clock_refresh_ms = 2'000;  // below max_clock_age_ms; also between questions
constexpr std::int64_t drift_parts = 50;          // a steady clock may be slower by 1 part in so many
constexpr std::int64_t avoid_unable_ms = 5'000;   // a node that cannot be reached or cannot pass starts on
constexpr std::int64_t avoid_silent_ms = 1'000;   // no answer in time; the link of this host may be the cause
constexpr std::int64_t avoid_busy_ms = 300;       // a node whose link is in use
constexpr std::int64_t busy_link_ms = 30;         // of backlog
constexpr std::size_t max_batch_bytes = 256U << 10U;
constexpr std::size_t max_batch_rows = 100;
constexpr std::size_t row_fields = 8;
constexpr std::int64_t max_run = std::numeric_limits<std::uint32_t>::max();
constexpr int status_too_busy = 429;
constexpr int status_too_long = 413;

// The row of a worker that the other node does not know. Its start was not sent.
constexpr std::string_view unknown_worker = "unknown";
constexpr std::pair<std::string_view, order_result> outcome_words[] = {
    {"ok", order_result::ok},
    {"fenced", order_result::fenced},
    {"superseded", order_result::superseded},
    {"lease_expired", order_result::lease_expired},
    {"no_room", order_result::no_room},
    {"bad_ticket", order_result::bad_ticket},
    {"refused", order_result::refused},
    {"invalid", order_result::invalid},
    {"unexplained", order_result::unexplained},
    {"other_instance", order_result::other_instance},
    {"no_answer", order_result::no_answer},
    {"disconnected", order_result::disconnected},
    {"not_listening", order_result::not_listening},
    {"not_sent", order_result::not_sent},
};

std::string_view word_of(const std::optional<order_result>& outcome)
{
    for (const auto& [word, value] : outcome_words) {
        if (outcome == value) {
            return word;
        }
    }
    return unknown_worker;
}

/// @return nothing for a worker that the other node does not know; `no_answer` for any other word
std::optional<order_result> outcome_of(const json& word)
{
    if (word == unknown_worker) {
        return std::nullopt;
    }
    for (const auto& [text, value] : outcome_words) {
        if (word == text) {
            return value;
        }
    }
    return order_result::no_answer;
}

std::string encode_batch(const start_batch& batch, std::int64_t last_ms)
{
    json rows = json::array();
    for (const start_effect& start : batch) {
        const start_order& order = start.order;
        rows.push_back({order.task, order.run, start.worker.id, start.life_ms, order.lease_until_ms,
                        order.fencing_token, order.checkpoint, order.ticket});
    }
    return write_json(
        {{"last_ms", last_ms}, {"payload", batch.front().order.payload}, {"starts", std::move(rows)}});
}

/// @return the start without its payload and the worker's address, or nothing if it cannot be read
std::optional<start_effect> decode_row(const json& row)
{
    if (!row.is_array() || row.size() != row_fields || !row[0].is_string() || !row[2].is_string() ||
        !row[6].is_string() || !row[7].is_string()) {
        return std::nullopt;
    }
    const auto run = integer_within(row[1], 0, max_run);
    const auto life_ms = integer_within(row[3], 0, max_exact_integer);
    const auto lease_until_ms = integer_within(row[4], 0, max_exact_integer);
    const auto token = integer_within(row[5], 0, max_exact_integer);
    if (!run || !life_ms || !lease_until_ms || !token || row[0].get_ref<const std::string&>().empty()) {
        return std::nullopt;
    }
    return start_effect{.worker = {.id = row[2].get<std::string>(), .address = {}},
                        .order = {.task = row[0].get<std::string>(),
                                  .run = static_cast<std::uint32_t>(*run),
                                  .payload = {},
                                  .lease_until_ms = *lease_until_ms,
                                  .fencing_token = *token,
                                  .checkpoint = row[6].get<std::string>(),
                                  .ticket = row[7].get<std::string>()},
                        .life_ms = *life_ms};
}

struct decoded_batch {
    std::int64_t last_ms = 0;  // on the clock of this node; nothing is sent to a worker later
    start_batch starts;
};

result<decoded_batch> decode_batch(const std::string& body)
{
    if (body.size() > max_batch_bytes) {
        return fail(error_code::malformed,
                    "the batch has more than " + std::to_string(max_batch_bytes) + " bytes");
    }
    const auto document = read_json_object(body);
    if (!document) {
        return document.error();
    }
    const json* last = find_field(document.value(), "last_ms");
    const auto last_ms = last == nullptr ? std::nullopt : integer_within(*last, 0, max_exact_integer);
    const json* payload = find_field(document.value(), "payload");
    const json* rows = find_field(document.value(), "starts");
    if (!last_ms || payload == nullptr || !payload->is_string() || rows == nullptr || !rows->is_array()) {
        return fail(error_code::malformed, "last_ms, payload or starts is missing or of another type");
    }
    if (rows->empty() || rows->size() > max_batch_rows) {
        return fail(error_code::malformed, "the batch has " + std::to_string(rows->size()) +
                                               " starts, expected 1 to " + std::to_string(max_batch_rows));
    }
    decoded_batch batch{.last_ms = *last_ms, .starts = {}};
    for (const json& row : *rows) {
        std::optional<start_effect> start = decode_row(row);
        if (!start) {
            return fail(error_code::malformed,
                        "start " + std::to_string(batch.starts.size()) + " cannot be read");
        }
        start->order.payload = payload->get<std::string>();
        batch.starts.push_back(std::move(*start));
    }
    return batch;
}

/// Collects the outcomes of a batch and answers it when the last one is known.
class batch_reply {
public:
    batch_reply(const start_relay& relay, http_exchange_ptr exchange, std::size_t starts)
        : relay_(relay), exchange_(std::move(exchange)), outcomes_(starts), open_(starts)
    {
    }

    void set(std::size_t index, const std::optional<order_result>& outcome)
    {
        outcomes_[index] = outcome;
        if (--open_ > 0) {
            return;
        }
        json words = json::array();
        for (const std::optional<order_result>& known : outcomes_) {
            words.push_back(word_of(known));
        }
        exchange_->reply(200, {{"Content-Type", "application/json"}}, relay_.encode_answer(std::move(words)));
    }

private:
    const start_relay& relay_;
    http_exchange_ptr exchange_;
    batch_outcomes outcomes_;
    std::size_t open_;
};

std::int64_t random_origin_ms()
{
    constexpr std::int64_t max_origin_ms = 1LL << 50;  // far below max_exact_integer
    std::random_device source;
    return std::uniform_int_distribution<std::int64_t>(0, max_origin_ms)(source);
}

/// Whether the other node has certainly not taken the batch.
bool declined(const http_answer& answer)
{
    if (answer.outcome == call_outcome::failed) {
        return !answer.reused && !answer.bytes_sent;
    }
    constexpr int statuses[] = {400, 404, status_too_long, status_too_busy, 503};
    return answer.outcome == call_outcome::answered &&
           std::ranges::find(statuses, answer.status) != std::end(statuses);
}

}  // namespace

start_relay::start_relay(node_state& node) : node_(node), clock_origin_ms_(random_origin_ms()) {}

bool start_relay::useful_for(std::int64_t link_kbps)
{
    return link_kbps > 0 && link_kbps < narrow_link_kbps;
}

std::int64_t start_relay::clock_ms() const
{
    return clock_origin_ms_ + monotonic_ms();
}

std::string start_relay::encode_answer(nlohmann::json outcomes) const
{
    return write_json({{"clock_ms", clock_ms()},
                       {"backlog_ms", node_.budget.backlog_ms(monotonic_ms())},
                       {"outcomes", std::move(outcomes)}});
}

bool start_relay::pays(const start_batch& batch, std::int64_t now_ms) const
{
    if (batch.size() < 2 || !useful_for(node_.settings.link_kbps)) {
        return false;
    }
    constexpr std::size_t bits = 8;
    const std::size_t bytes = batch.size() * (batch.front().order.payload.size() + start_overhead_bytes);
    const std::int64_t batch_ms = static_cast<std::int64_t>(bytes * bits) / node_.settings.link_kbps;
    return node_.budget.backlog_ms(now_ms) + batch_ms > worthwhile_ms;
}

bool start_relay::send(const start_batch& batch, batch_handler done)
{
    const std::int64_t now = monotonic_ms();
    if (!pays(batch, now)) {
        return false;
    }
    ask_clocks(now);
    const std::optional<std::string> address = choose_peer(now);
    if (!address) {
        return false;
    }
    const peer& known = peers_[*address];
    const std::int64_t ahead_ms = known.clock_ahead_ms - (now - known.heard_ms) / drift_parts;
    const http_call call{.method = "POST",
                         .address = *address,
                         .path = relayed_starts_path,
                         .headers = {{"Content-Type", "application/json"}},
                         .body = encode_batch(batch, now + ahead_ms + last_start_ms),
                         .timeout_ms = batch_timeout_ms,
                         .reuse_connection = true,
                         .traffic = traffic_class::orders,
                         .max_wait_ms = batch_max_wait_ms};
    node_.counters.make_counter("start_batches", "Batches of starts that this node sent through others")
        .add();
    node_.client.send(call, [this, address = *address, starts = batch.size(),
                             done = std::move(done)](const http_answer& answer) {
        note_answer(address, answer);
        const batch_outcomes outcomes = read_outcomes(answer, starts);
        count_outcomes(outcomes);
        done(outcomes);
    });
    return true;
}

/// @return the next node in turn that has told its clock lately. An owner is as good as a node without a
///         shard while its link is not busy; one such node took most of the starts of a fleet.
std::optional<std::string> start_relay::choose_peer(std::int64_t now_ms)
{
    const std::vector<std::string>& all = node_.transport.peers();
    for (std::size_t tried = 0; tried < all.size(); ++tried) {
        const std::string& address = all[turn_++ % all.size()];
        if (can_use(peers_[address], now_ms)) {
            return address;
        }
    }
    return std::nullopt;
}

bool start_relay::can_use(const peer& known, std::int64_t now_ms)
{
    return known.usable && now_ms - known.heard_ms <= max_clock_age_ms && known.avoid_until_ms <= now_ms;
}

bool start_relay::available() const
{
    const std::int64_t now = monotonic_ms();
    return node_.budget.backlog_ms(now) <= full_link_ms &&
           std::ranges::any_of(node_.transport.peers(), [&](const std::string& address) {
               const auto found = peers_.find(address);
               return found != peers_.end() && can_use(found->second, now);
           });
}

/// Asks the nodes whose clocks are not known, or will soon be too old.
void start_relay::ask_clocks(std::int64_t now_ms)
{
    for (const std::string& address : node_.transport.peers()) {
        peer& known = peers_[address];
        const std::int64_t latest_ms = std::max(known.asked_ms, known.usable ? known.heard_ms : 0);
        if (known.avoid_until_ms > now_ms || (latest_ms > 0 && now_ms - latest_ms < clock_refresh_ms)) {
            continue;
        }
        known.asked_ms = now_ms;
        const http_call call{.method = "POST",
                             .address = address,
                             .path = relayed_starts_path,
                             .headers = {},
                             .body = {},
                             .timeout_ms = batch_timeout_ms,
                             .reuse_connection = true,
                             .traffic = traffic_class::peers,
                             .max_wait_ms = batch_max_wait_ms};
        node_.client.send(call, [this, address](const http_answer& answer) { note_answer(address, answer); });
    }
}

/// Learns from an answer whether and until when a node can be used.
void start_relay::note_answer(const std::string& address, const http_answer& answer)
{
    if (answer.outcome == call_outcome::not_sent || answer.outcome == call_outcome::cancelled) {
        return;  // says nothing about the node
    }
    peer& known = peers_[address];
    const std::int64_t now = monotonic_ms();
    const bool answered = answer.outcome == call_outcome::answered;
    if (answered && answer.status == status_too_busy) {
        known.avoid_until_ms = now + avoid_busy_ms;
        return;
    }
    if (!answered) {
        node_.client.close_idle_connections(address);
    }
    std::optional<std::int64_t> clock_ms;
    bool busy = false;
    if (answered && answer.status == 200) {
        const auto document = read_json_object(answer.body);
        const json* field = document ? find_field(document.value(), "clock_ms") : nullptr;
        clock_ms = field == nullptr ? std::nullopt : integer_within(*field, 0, max_exact_integer);
        busy = document && integer_or(document.value(), "backlog_ms") > busy_link_ms;
    }
    if (!clock_ms) {
        const bool silent = answer.outcome == call_outcome::timed_out;
        known.usable = known.usable && silent;
        known.avoid_until_ms = now + (silent ? avoid_silent_ms : avoid_unable_ms);
        return;
    }
    note_clock(address, *clock_ms);
    known.avoid_until_ms = busy ? now + avoid_busy_ms : 0;
}

/// Keeps the higher one of two lower bounds: an answer that took long tells less.
void start_relay::note_clock(const std::string& address, std::int64_t clock_ms)
{
    peer& known = peers_[address];
    const std::int64_t now = monotonic_ms();
    const std::int64_t ahead_ms = clock_ms - now;
    const std::int64_t before_ms = known.clock_ahead_ms - (now - known.heard_ms) / drift_parts;
    known.clock_ahead_ms = known.usable ? std::max(ahead_ms, before_ms) : ahead_ms;
    known.heard_ms = now;
    known.usable = true;
}

/// A start whose outcome cannot be read may have been carried out.
batch_outcomes start_relay::read_outcomes(const http_answer& answer, std::size_t starts) const
{
    if (declined(answer)) {
        return batch_outcomes(starts, std::nullopt);
    }
    if (answer.outcome == call_outcome::not_sent) {
        return batch_outcomes(starts, order_result::not_sent);
    }
    batch_outcomes outcomes(starts, order_result::no_answer);
    if (answer.outcome != call_outcome::answered || answer.status != 200) {
        return outcomes;
    }
    const auto document = read_json_object(answer.body);
    const json* words = document ? find_field(document.value(), "outcomes") : nullptr;
    if (words == nullptr || !words->is_array() || words->size() != starts) {
        note_rejected_input(input_source::entry_node, relayed_starts_path,
                            document ? "the outcomes are unreadable" : document.error().message);
        return outcomes;
    }
    std::ranges::transform(*words, outcomes.begin(), outcome_of);
    return outcomes;
}

void start_relay::count_outcomes(const batch_outcomes& outcomes)
{
    const auto count = [&](const std::optional<order_result>& outcome) {
        return static_cast<std::uint64_t>(std::ranges::count(outcomes, outcome));
    };
    const std::uint64_t declined = count(std::nullopt);
    node_.counters.make_counter("starts_relayed", "Starts that this node sent through others")
        .add(outcomes.size() - declined);
    node_.counters
        .make_counter("starts_relay_declined", "Starts that other nodes did not pass on; sent directly")
        .add(declined);
    node_.counters.make_counter("starts_relayed_unanswered", "Starts through others without an answer")
        .add(count(order_result::no_answer));
}

void start_relay::pass_on(const http_exchange_ptr& exchange)
{
    if (node_.registry.empty() || node_.stopping) {
        exchange->reply(503, {}, "this node follows no registrations or is stopping");
        return;
    }
    if (exchange->body().empty()) {
        exchange->reply(200, {{"Content-Type", "application/json"}}, encode_answer(json::array()));
        return;
    }
    if (node_.budget.backlog_ms(monotonic_ms()) > full_link_ms) {
        exchange->reply(status_too_busy, {}, "the link of this host is full");
        return;
    }
    auto batch = decode_batch(exchange->body());
    if (!batch) {
        note_rejected_input(input_source::entry_node, relayed_starts_path, batch.error().message);
        exchange->reply(400, {}, batch.error().message);
        return;
    }
    const std::int64_t left_ms = batch.value().last_ms - clock_ms();
    if (left_ms > last_start_ms) {
        exchange->reply(503, {}, "the batch names the clock of another process");
        return;
    }
    counter& passed =
        node_.counters.make_counter("relayed_starts_passed", "Starts of other nodes that this node sent");
    counter& dropped = node_.counters.make_counter(
        "relayed_starts_dropped", "Starts of other nodes that this node could not send in time");
    const auto reply = std::make_shared<batch_reply>(*this, exchange, batch.value().starts.size());
    std::size_t index = 0;
    for (start_effect& start : batch.value().starts) {
        const std::size_t row = index++;
        const auto found = node_.registry.find(start.worker.id);
        if (found == node_.registry.end()) {
            reply->set(row, std::nullopt);
            continue;
        }
        if (found->second.started_ms != start.life_ms) {
            reply->set(row, order_result::other_instance);
            continue;
        }
        if (left_ms <= 0) {
            dropped.add();
            reply->set(row, order_result::not_sent);
            continue;
        }
        start.worker.address = found->second.address;
        start.order.max_wait_ms = std::min(left_ms, worker_max_wait_ms);
        start.order.timeout_ms = left_ms + worker_answer_ms - last_start_ms - start.order.max_wait_ms;
        node_.workers->start(start.worker, start.order, [reply, row, &passed, &dropped](const auto& answer) {
            (answer.outcome == order_result::not_sent ? dropped : passed).add();
            reply->set(row, answer.outcome);
        });
    }
}

}  // namespace waxwingnotch
