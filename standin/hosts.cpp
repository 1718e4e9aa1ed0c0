#include "standin.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <functional>
#include <map>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::http_exchange_ptr;

/// What the list says about a host, now and after the lag.
struct listed_host {
    std::string address;
    std::string state = "live";  // shown
    std::string next = "live";   // shown from `since + lag` on
    std::int64_t changed_at = 0;
};

class hosts_role {
public:
    explicit hosts_role(std::int64_t lag_ms) : lag_ms_(lag_ms) {}

    void handle(const http_exchange_ptr& exchange)
    {
        const std::string& path = exchange->path();
        if (path == "/fault") {
            take_faults(faults_, exchange);
        }
        else if (faults_.value("down", false)) {
            exchange->close_without_reply();
        }
        else if (path == "/hosts" && exchange->method() == "GET") {
            list(exchange);
        }
        else {
            change(exchange, path);
        }
    }

private:
    void list(const http_exchange_ptr& exchange)
    {
        const std::int64_t now = waxwingnotch::wall_ms();
        json items = json::array();
        const std::int64_t lag_ms = faults_.value("lag_ms", lag_ms_);
        for (auto& [name, host] : hosts_) {
            if (host.changed_at + lag_ms <= now) {
                host.state = host.next;
            }
            if (host.state != "gone") {
                items.push_back({{"host", name}, {"address", host.address}, {"state", host.state}});
            }
        }
        const std::string body = json{{"hosts", items}}.dump();
        const std::string etag = "\"" + std::to_string(std::hash<std::string>{}(body)) + "\"";
        if (exchange->header("If-None-Match").value_or("") == etag) {
            exchange->reply(304, {{"ETag", etag}}, "");
            return;
        }
        exchange->reply(200, {{"Content-Type", "application/json"}, {"ETag", etag}}, body);
    }

    /// `/hosts/NAME/ACTION` with ACTION one of register, drain, reboot, return, leave, gone.
    void change(const http_exchange_ptr& exchange, const std::string& path)
    {
        const std::string prefix = "/hosts/";
        const std::size_t slash = path.rfind('/');
        if (exchange->method() != "POST" || path.rfind(prefix, 0) != 0 || slash <= prefix.size()) {
            exchange->reply(404, {}, "unknown path");
            return;
        }
        const std::string name = path.substr(prefix.size(), slash - prefix.size());
        const std::string action = path.substr(slash + 1);
        static const std::map<std::string, std::string> states = {{"leave", "leaving"}, {"gone", "gone"}};
        const auto state = states.find(action);
        listed_host& host = hosts_[name];
        if (action == "register") {
            host.address = exchange->body();
        }
        host.next = state == states.end() ? "live" : state->second;
        host.changed_at = waxwingnotch::wall_ms();
        exchange->reply(200, {{"Content-Type", "application/json"}}, "{}");
    }

    std::int64_t lag_ms_;
    std::map<std::string, listed_host> hosts_;
    json faults_ = json::object();  // down, lag_ms
};

}  // namespace

role make_hosts(std::int64_t lag_ms)
{
    return [self = std::make_shared<hosts_role>(lag_ms)](const waxwingnotch::http_exchange_ptr& exchange) {
        self->handle(exchange);
    };
}

}  // namespace standin
