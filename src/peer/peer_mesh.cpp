#include "waxwingnotch/peer/peer_mesh.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

peer_mesh::peer_mesh(event_loop& loop, mesh_options options, mesh_handlers handlers)
    : loop_(loop), options_(std::move(options)), handlers_(std::move(handlers)), members_(options_.node),
      listener_(loop, [this](const websocket_link_ptr& link) { register_link(link, ""); })
{
}

result<std::uint16_t> peer_mesh::listen(std::string_view address)
{
    return listener_.listen(address);
}

void peer_mesh::start()
{
    send_heartbeats();
}

void peer_mesh::dial(const peer_settings& peer)
{
    dialled_.insert(peer.id);
    const websocket_link_ptr link = websocket_link::connect(loop_, peer.address, {});
    register_link(link, peer.id);
}

void peer_mesh::register_link(const websocket_link_ptr& link, const std::string& expected_node)
{
    websocket_link* raw = link.get();
    links_[raw] = {link, expected_node, monotonic_ms()};
    link_handlers handlers;
    handlers.opened = [this, raw] {
        raw->send(encode(hello_message{handlers_.self()}));
    };
    handlers.message = [this, raw](const std::string& bytes) {
        handle_bytes(raw, bytes);
    };
    handlers.closed = [this, raw](const std::string& reason) {
        const auto found = links_.find(raw);
        const std::string node = found == links_.end() ? "" : found->second.node;
        log_event(log_level::debug, "peer-link-closed", {{"peer", node}, {"reason", reason}});
        remove_link(raw);
    };
    link->set_handlers(std::move(handlers));
}

void peer_mesh::remove_link(websocket_link* link)
{
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    closed_bytes_out_ += link->bytes_out();
    const std::string node = found->second.node;
    dialled_.erase(node);
    links_.erase(found);
    if (find_open_link(node) == nullptr) {
        fail_queries_to(node);
    }
}

/// Fails the pending queries to a node at once: with its last link closed, no answer can arrive.
void peer_mesh::fail_queries_to(std::string_view node)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, query] : queries_) {
        if (query.node == node) {
            ids.push_back(id);
        }
    }
    for (const std::uint64_t id : ids) {
        loop_.defer([this, id] { complete_query(id, {}); });
    }
}

void peer_mesh::handle_bytes(websocket_link* link, const std::string& bytes)
{
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    const auto message = decode_peer_message(bytes);
    if (!message) {
        log_event(log_level::error, "peer-message-malformed",
                  {{"peer", found->second.node}, {"reason", message.error().message}});
        return;
    }
    found->second.heard_at_ms = monotonic_ms();
    handle_message(found->second, message.value());
}

void peer_mesh::handle_message(link_entry& from, const peer_message& message)
{
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        from.node = hello->self.node;
        members_.record_heartbeat(hello->self, monotonic_ms());
        log_event(
            log_level::info, "peer-linked",
            {{"peer", from.node}, {"incarnation", hello->self.incarnation}, {"offset", hello->self.offset}});
        if (hello->self.offset > handlers_.self().offset) {
            from.link->send(encode(records_request_message{handlers_.self().offset}));
        }
    }
    else if (const auto* beat = std::get_if<heartbeat_message>(&message)) {
        members_.record_heartbeat(beat->self, monotonic_ms());
        if (handlers_.on_heartbeat) {
            handlers_.on_heartbeat(beat->self);
        }
        schedule_records_request(beat->self.offset);
    }
    else if (const auto* records = std::get_if<records_message>(&message)) {
        handlers_.on_records(records->entries);
    }
    else if (const auto* request = std::get_if<records_request_message>(&message)) {
        answer_records_request(from, request->from);
    }
    else if (const auto* state = std::get_if<state_message>(&message)) {
        handlers_.on_state(*state);
    }
    else if (const auto* query = std::get_if<key_query_message>(&message)) {
        const std::weak_ptr<websocket_link> weak_link = from.link;
        handlers_.on_key_query(*query, [weak_link](const key_answer_message& answer) {
            if (const websocket_link_ptr link = weak_link.lock()) {
                link->send(encode(answer));
            }
        });
    }
    else if (const auto* answer = std::get_if<key_answer_message>(&message)) {
        complete_query(answer->id, *answer);
    }
}

void peer_mesh::answer_records_request(link_entry& from, std::int64_t offset)
{
    const std::int64_t end = handlers_.self().offset;
    if (offset >= end) {
        return;
    }
    // Entries that this node skipped by loading a state are not kept, so the kept ones may end before `end`.
    if (recent_.empty() || offset < recent_.front().offset || offset > recent_.back().offset) {
        from.link->send(encode(state_message{end, handlers_.encode_state()}));
        return;
    }
    const auto skip = static_cast<std::ptrdiff_t>(offset - recent_.front().offset);
    from.link->send(encode(records_message{{recent_.begin() + skip, recent_.end()}}));
}

void peer_mesh::retain_records(std::span<const log_entry> entries)
{
    if (entries.empty()) {
        return;
    }
    if (!recent_.empty() && recent_.back().offset + 1 != entries.front().offset) {
        recent_.clear();
        recent_bytes_ = 0;
    }
    for (const log_entry& entry : entries) {
        recent_.push_back(entry);
        recent_bytes_ += entry.bytes.size();
    }
    while (recent_.size() > max_kept_records || recent_bytes_ > max_kept_bytes) {
        recent_bytes_ -= recent_.front().bytes.size();
        recent_.pop_front();
    }
}

void peer_mesh::schedule_records_request(std::int64_t offset)
{
    if (offset <= handlers_.self().offset || gap_timer_.active()) {
        return;
    }
    // Most gaps close without a request, because the log's answer is already on its way.
    gap_timer_ = loop_.after(gap_delay_ms, [this] {
        gap_timer_.cancel();
        request_records(handlers_.self().offset);
    });
}

void peer_mesh::request_records(std::int64_t offset)
{
    link_entry* furthest = nullptr;
    std::int64_t highest_offset = offset;
    for (auto& [raw, entry] : links_) {
        const member* known = members_.find(entry.node);
        if (entry.link->open() && known != nullptr && known->offset > highest_offset) {
            furthest = &entry;
            highest_offset = known->offset;
        }
    }
    if (furthest != nullptr) {
        furthest->link->send(encode(records_request_message{offset}));
    }
}

peer_mesh::link_entry* peer_mesh::find_open_link(std::string_view node)
{
    for (auto& [raw, entry] : links_) {
        if (entry.node == node && entry.link->open()) {
            return &entry;
        }
    }
    return nullptr;
}

void peer_mesh::query_key(std::string_view node, const std::string& key, const std::string& request_id,
                          std::int64_t timeout_ms, std::function<void(const key_answer_message&)> done)
{
    link_entry* entry = find_open_link(node);
    if (entry == nullptr) {
        loop_.defer([done = std::move(done)] { done({}); });
        return;
    }
    const std::uint64_t id = next_query_id_++;
    pending_query& query = queries_[id];
    query.node = std::string(node);
    query.done = std::move(done);
    query.timeout = loop_.after(timeout_ms, [this, id] { complete_query(id, {}); });
    entry->link->send(encode(key_query_message{id, key, request_id}));
}

void peer_mesh::complete_query(std::uint64_t id, const key_answer_message& answer)
{
    const auto found = queries_.find(id);
    if (found == queries_.end()) {
        return;
    }
    const pending_query query = std::move(found->second);
    queries_.erase(found);
    query.done(answer);
}

void peer_mesh::send_heartbeats()
{
    // Heartbeats are aligned to intervals of the wall clock: quota division needs one heartbeat per round.
    const std::int64_t elapsed_ms = (wall_ms() - heartbeat_phase_ms) % heartbeat_interval_ms;
    heartbeat_timer_ = loop_.after(heartbeat_interval_ms - elapsed_ms, [this] { send_heartbeats(); });
    if (handlers_.before_heartbeat) {
        handlers_.before_heartbeat();
    }
    const std::int64_t now = monotonic_ms();
    members_.expire(now);
    std::vector<websocket_link_ptr> silent;
    const std::string bytes = encode(heartbeat_message{handlers_.self()});
    for (auto& [raw, entry] : links_) {
        if (entry.heard_at_ms + link_timeout_ms < now) {
            silent.push_back(entry.link);
        }
        else if (entry.link->open()) {
            entry.link->send(bytes);
        }
    }
    for (const websocket_link_ptr& link : silent) {
        log_event(log_level::info, "peer-link-silent", {{"peer", links_[link.get()].node}});
        remove_link(link.get());
    }
    for (const peer_settings& peer : options_.peers) {
        // The node with the smaller id dials, so that each pair of nodes has one link.
        if (options_.node < peer.id && dialled_.count(peer.id) == 0) {
            dial(peer);
        }
    }
}

std::uint64_t peer_mesh::bytes_out() const
{
    std::uint64_t sum = closed_bytes_out_;
    for (const auto& [raw, entry] : links_) {
        sum += raw->bytes_out();
    }
    return sum;
}

}  // namespace waxwingnotch
