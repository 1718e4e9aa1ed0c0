#include "waxwingnotch/entry/leaving_watch.hpp"

#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {
constexpr std::int64_t ask_timeout_ms = 1'500;
}  // namespace

leaving_watch::leaving_watch(event_loop& loop, http_client& client, const fleet_view& view,
                             upstream_table& upstreams)
    : loop_(loop), client_(client), view_(view), upstreams_(upstreams)
{
}

void leaving_watch::start()
{
    tick_ = loop_.every(interval_ms, [this] { ask_all(); });
}

void leaving_watch::hear(const std::vector<std::string>& hosts)
{
    for (const std::string& host : hosts) {
        upstream& known = upstreams_.at(host);
        if (known.said_leaving || known.heard_leaving || view_.state().hosts.count(host) == 0) {
            continue;
        }
        log_event(log_level::info, "leaving", {{"host", host}, {"source", "another entry node"}});
        known.heard_leaving = true;
    }
}

std::vector<std::string> leaving_watch::told() const
{
    std::vector<std::string> hosts = upstreams_.marked(&upstream::said_leaving);
    if (hosts.size() > max_told) {
        hosts.resize(max_told);
    }
    return hosts;
}

void leaving_watch::ask_all()
{
    std::vector<std::string> hosts = upstreams_.marked(&upstream::said_leaving);
    const std::vector<std::string> heard = upstreams_.marked(&upstream::heard_leaving);
    hosts.insert(hosts.end(), heard.begin(), heard.end());
    for (const std::string& host : hosts) {
        const auto machine = view_.state().hosts.find(host);
        if (machine == view_.state().hosts.end()) {
            upstreams_.at(host).said_leaving = false;
            upstreams_.at(host).heard_leaving = false;
            continue;
        }
        ask(host, machine->second.spec.address);
    }
}

void leaving_watch::ask(const std::string& host, const std::string& address)
{
    if (!asking_.insert(host).second) {
        return;
    }
    http_call call;
    call.address = address;
    call.path = "/usage";
    call.timeout_ms = ask_timeout_ms;
    client_.send(call, [this, host](const http_answer& answer) {
        asking_.erase(host);
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            upstreams_.take_usage(host, answer);
        }
    });
}

}  // namespace waxwingnotch
