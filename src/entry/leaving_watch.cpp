#include "waxwingnotch/entry/leaving_watch.hpp"

#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {
constexpr std::int64_t poll_timeout_ms = 1'500;
}  // namespace

leaving_monitor::leaving_monitor(event_loop& loop, http_client& client, const fleet_view& view,
                                 upstream_table& upstreams)
    : loop_(loop), client_(client), view_(view), upstreams_(upstreams)
{
}

void leaving_monitor::start()
{
    tick_ = loop_.every(poll_interval_ms, [this] { poll_all(); });
}

void leaving_monitor::receive(const std::vector<std::string>& hosts)
{
    for (const std::string& host : hosts) {
        upstream& known = upstreams_.at(host);
        if (known.worker_reported_leaving || known.peer_reported_leaving ||
            view_.state().hosts.count(host) == 0) {
            continue;
        }
        log_event(log_level::info, "leaving", {{"host", host}, {"source", "another entry node"}});
        known.peer_reported_leaving = true;
    }
}

std::vector<std::string> leaving_monitor::reported_hosts() const
{
    std::vector<std::string> hosts = upstreams_.hosts_with(&upstream::worker_reported_leaving);
    if (hosts.size() > max_reported) {
        hosts.resize(max_reported);
    }
    return hosts;
}

void leaving_monitor::poll_all()
{
    std::vector<std::string> hosts = upstreams_.hosts_with(&upstream::worker_reported_leaving);
    const std::vector<std::string> peer_reported = upstreams_.hosts_with(&upstream::peer_reported_leaving);
    hosts.insert(hosts.end(), peer_reported.begin(), peer_reported.end());
    for (const std::string& host : hosts) {
        const auto machine = view_.state().hosts.find(host);
        if (machine == view_.state().hosts.end()) {
            upstreams_.at(host).worker_reported_leaving = false;
            upstreams_.at(host).peer_reported_leaving = false;
            continue;
        }
        poll(host, machine->second.spec.address);
    }
}

void leaving_monitor::poll(const std::string& host, const std::string& address)
{
    if (!polling_.insert(host).second) {
        return;
    }
    http_call call;
    call.address = address;
    call.path = "/usage";
    call.timeout_ms = poll_timeout_ms;
    client_.send(call, [this, host](const http_answer& answer) {
        polling_.erase(host);
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            upstreams_.apply_usage(host, answer);
        }
    });
}

}  // namespace waxwingnotch
