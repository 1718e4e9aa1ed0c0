#include "standin.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::event_loop;
using waxwingnotch::http_exchange_ptr;

/// What the list says about a host, now and after the lag.
struct listed_host {
    std::string address;
    std::string state = "live";  // shown
    std::string next = "live";   // shown from `since + lag` on
    std::int64_t changed_at = 0;
    std::int64_t reboots = 0;
};

class hosts_role : public role {
public:
    explicit hosts_role(const hosts_options& options) : options_(options) {}

    void handle(const http_exchange_ptr& exchange) override
    {
        const std::string& path = exchange->path();
        if (path == "/fault") {
            const json body = json::parse(exchange->body(), nullptr, false);
            down_ = body.is_object() && body.value("down", down_);
            options_.lag_ms = body.is_object() ? body.value("lag_ms", options_.lag_ms) : options_.lag_ms;
            exchange->reply(200, {}, "{}");
            return;
        }
        if (down_) {
            exchange->drop();
            return;
        }
        if (path == "/hosts" && exchange->method() == "GET") {
            list(exchange);
            return;
        }
        change(exchange, path);
    }

private:
    void list(const http_exchange_ptr& exchange)
    {
        const std::int64_t now = waxwingnotch::wall_ms();
        json items = json::array();
        for (auto& [name, host] : hosts_) {
            if (host.changed_at + options_.lag_ms <= now) {
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
        static const std::map<std::string, std::string> states = {{"register", "live"}, {"drain", "live"},
                                                                  {"reboot", "live"},   {"return", "live"},
                                                                  {"leave", "leaving"}, {"gone", "gone"}};
        const auto state = states.find(action);
        if (state == states.end()) {
            exchange->reply(404, {}, "unknown action");
            return;
        }
        listed_host& host = hosts_[name];
        if (action == "register") {
            host.address = exchange->body();
        }
        host.reboots += action == "reboot" ? 1 : 0;
        host.next = state->second;
        host.changed_at = waxwingnotch::wall_ms();
        exchange->reply(200, {{"Content-Type", "application/json"}}, json{{"reboots", host.reboots}}.dump());
    }

    hosts_options options_;
    std::map<std::string, listed_host> hosts_;
    bool down_ = false;
};

}  // namespace

std::unique_ptr<role> make_hosts(event_loop&, const hosts_options& options)
{
    return std::make_unique<hosts_role>(options);
}

}  // namespace standin
