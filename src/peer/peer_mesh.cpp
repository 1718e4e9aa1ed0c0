#include "waxwingnotch/peer/peer_mesh.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/log.hpp"

#include <algorithm>

namespace waxwingnotch {

peer_mesh::peer_mesh(event_loop& loop, mesh_options options, mesh_handlers handlers)
    : loop_(loop), options_(std::move(options)), handlers_(std::move(handlers)), members_(options_.node),
      listener_(loop, [this](const websocket_link_ptr& link) { adopt(link, ""); })
{
}

result<std::uint16_t> peer_mesh::listen(std::string_view address)
{
    return listener_.listen(address);
}

void peer_mesh::start()
{
    beat();
}

void peer_mesh::dial(const peer_settings& peer)
{
    dialling_.insert(peer.id);
    const websocket_link_ptr link = websocket_link::connect(loop_, peer.address, {});
    adopt(link, peer.id);
}

void peer_mesh::adopt(const websocket_link_ptr& link, const std::string& expected)
{
    websocket_link* raw = link.get();
    links_[raw] = {link, expected, monotonic_ms()};
    link_handlers handlers;
    handlers.opened = [this, raw] {
        raw->send(encode(hello_message{handlers_.self()}));
    };
    handlers.message = [this, raw](const std::string& bytes) {
        take(raw, bytes);
    };
    handlers.closed = [this, raw](const std::string& reason) {
        const auto found = links_.find(raw);
        const std::string node = found == links_.end() ? "" : found->second.node;
        log_event(log_level::debug, "peer-link-closed", {{"peer", node}, {"reason", reason}});
        drop(raw);
    };
    link->set_handlers(std::move(handlers));
}

void peer_mesh::drop(websocket_link* link)
{
    const auto found = links_.find(link);
    if (found == links_.end()) {
        return;
    }
    closed_bytes_out_ += link->bytes_out();
    const std::string node = found->second.node;
    dialling_.erase(node);
    links_.erase(found);
    if (link_to(node) == nullptr) {
        give_up_questions(node);
    }
}

/// No answer can arrive any more; whoever asked must not wait for the time limit.
void peer_mesh::give_up_questions(std::string_view node)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, item] : questions_) {
        if (item.node == node) {
            ids.push_back(id);
        }
    }
    for (const std::uint64_t id : ids) {
        loop_.defer([this, id] { settle_question(id, {}); });
    }
}

void peer_mesh::take(websocket_link* link, const std::string& bytes)
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
    found->second.heard_at = monotonic_ms();
    take_message(found->second, message.value());
}

void peer_mesh::take_message(link_entry& from, const peer_message& message)
{
    if (const auto* hello = std::get_if<hello_message>(&message)) {
        from.node = hello->self.node;
        members_.hear(hello->self, monotonic_ms());
        log_event(
            log_level::info, "peer-linked",
            {{"peer", from.node}, {"incarnation", hello->self.incarnation}, {"offset", hello->self.offset}});
        if (hello->self.offset > handlers_.self().offset) {
            from.link->send(encode(want_message{handlers_.self().offset}));
        }
    }
    else if (const auto* beat = std::get_if<beat_message>(&message)) {
        members_.hear(beat->self, monotonic_ms());
        if (handlers_.beat) {
            handlers_.beat(beat->self);
        }
        expect(beat->self.offset);
    }
    else if (const auto* records = std::get_if<records_message>(&message)) {
        handlers_.records(records->entries);
    }
    else if (const auto* want = std::get_if<want_message>(&message)) {
        answer_want(from, want->from);
    }
    else if (const auto* state = std::get_if<state_message>(&message)) {
        handlers_.state(*state);
    }
    else if (const auto* question = std::get_if<ask_key_message>(&message)) {
        const std::weak_ptr<websocket_link> back = from.link;
        handlers_.ask_key(*question, [back](const key_message& answer) {
            if (const websocket_link_ptr link = back.lock()) {
                link->send(encode(answer));
            }
        });
    }
    else if (const auto* answer = std::get_if<key_message>(&message)) {
        settle_question(answer->id, *answer);
    }
}

void peer_mesh::answer_want(link_entry& from, std::int64_t offset)
{
    const std::int64_t end = handlers_.self().offset;
    if (offset >= end) {
        return;
    }
    if (recent_.empty() || offset < recent_.front().offset) {
        from.link->send(encode(state_message{end, handlers_.encode_state()}));
        return;
    }
    const auto skip = static_cast<std::ptrdiff_t>(offset - recent_.front().offset);
    from.link->send(encode(records_message{{recent_.begin() + skip, recent_.end()}}));
}

void peer_mesh::keep(std::span<const log_entry> entries)
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
    while (recent_.size() > kept_records || recent_bytes_ > kept_bytes) {
        recent_bytes_ -= recent_.front().bytes.size();
        recent_.pop_front();
    }
}

void peer_mesh::expect(std::int64_t offset)
{
    if (offset <= handlers_.self().offset || gap_wait_.pending()) {
        return;
    }
    // Most gaps close by themselves: the log's answer is on its way.
    gap_wait_ = loop_.after(gap_wait_ms, [this] {
        gap_wait_.cancel();
        want(handlers_.self().offset);
    });
}

void peer_mesh::want(std::int64_t offset)
{
    link_entry* best = nullptr;
    std::int64_t most = offset;
    for (auto& [raw, entry] : links_) {
        const member* known = members_.find(entry.node);
        if (entry.link->open() && known != nullptr && known->offset > most) {
            best = &entry;
            most = known->offset;
        }
    }
    if (best != nullptr) {
        best->link->send(encode(want_message{offset}));
    }
}

peer_mesh::link_entry* peer_mesh::link_to(std::string_view node)
{
    for (auto& [raw, entry] : links_) {
        if (entry.node == node && entry.link->open()) {
            return &entry;
        }
    }
    return nullptr;
}

void peer_mesh::ask(std::string_view node, const std::string& key, const std::string& request_id,
                    std::int64_t timeout_ms, std::function<void(const key_message&)> done)
{
    link_entry* entry = link_to(node);
    if (entry == nullptr) {
        loop_.defer([done = std::move(done)] { done({}); });
        return;
    }
    const std::uint64_t id = next_question_++;
    question& item = questions_[id];
    item.node = std::string(node);
    item.done = std::move(done);
    item.timeout = loop_.after(timeout_ms, [this, id] { settle_question(id, {}); });
    entry->link->send(encode(ask_key_message{id, key, request_id}));
}

void peer_mesh::settle_question(std::uint64_t id, const key_message& answer)
{
    const auto found = questions_.find(id);
    if (found == questions_.end()) {
        return;
    }
    const question item = std::move(found->second);
    questions_.erase(found);
    item.done(answer);
}

void peer_mesh::beat()
{
    // One heartbeat in each interval of the wall clock, because the division of quotas needs each round's.
    const std::int64_t into = (wall_ms() - beat_delay_ms) % beat_interval_ms;
    beat_timer_ = loop_.after(beat_interval_ms - into, [this] { beat(); });
    if (handlers_.beat_due) {
        handlers_.beat_due();
    }
    const std::int64_t now = monotonic_ms();
    members_.forget(now);
    std::vector<websocket_link_ptr> silent;
    const std::string bytes = encode(beat_message{handlers_.self()});
    for (auto& [raw, entry] : links_) {
        if (entry.heard_at + silent_link_ms < now) {
            silent.push_back(entry.link);
        }
        else if (entry.link->open()) {
            entry.link->send(bytes);
        }
    }
    for (const websocket_link_ptr& link : silent) {
        log_event(log_level::info, "peer-link-silent", {{"peer", links_[link.get()].node}});
        drop(link.get());
    }
    for (const peer_settings& peer : options_.peers) {
        // The node with the smaller id dials, so that two nodes share one link.
        if (options_.node < peer.id && dialling_.count(peer.id) == 0) {
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
