#include "standin.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <nlohmann/json.hpp>

#include <map>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::event_loop;
using waxwingnotch::http_exchange_ptr;
using waxwingnotch::http_headers;
using waxwingnotch::timer;

/// Faults of a worker; all off by default.
struct worker_faults {
    bool fail_all = false;          // starts every task and fails it
    bool leaving = false;           // refuses new tasks
    bool refuse = false;            // drops new connections' requests unread
    bool silent_old = false;        // requests on connections from before never get an answer
    bool wrong_id = false;          // echoes a foreign task id
    std::int64_t lose_answers = 0;  // next tasks run, their answers do not arrive
};

/// A task, running or over. Kept as the execution record.
struct task {
    std::string service;
    std::string state = "running";  // running, done, failed, stopped
    std::int64_t started_at = 0;
    std::int64_t ended_at = 0;
    std::int64_t starts = 0;  // more than 1: the same task ran twice
    http_exchange_ptr exchange;
    timer end;
};

class worker_role : public role {
public:
    worker_role(event_loop& loop, worker_options options) : loop_(loop), options_(std::move(options)) {}

    void handle(const http_exchange_ptr& exchange) override
    {
        const std::string& path = exchange->path();
        if (path == "/fault") {
            set_faults(exchange);
        }
        else if (path == "/records") {
            records(exchange);
        }
        else if (path == "/usage") {
            usage(exchange);
        }
        else if (path == "/tasks" && exchange->method() == "POST") {
            start(exchange);
        }
        else if (path.rfind("/tasks/", 0) == 0) {
            control(exchange, path.substr(std::string("/tasks/").size()));
        }
        else {
            exchange->reply(404, {}, "unknown path");
        }
    }

private:
    void set_faults(const http_exchange_ptr& exchange)
    {
        const json body = json::parse(exchange->body(), nullptr, false);
        if (!body.is_object()) {
            exchange->reply(400, {}, "not a JSON object");
            return;
        }
        faults_.fail_all = body.value("fail_all", faults_.fail_all);
        faults_.leaving = body.value("leaving", faults_.leaving);
        faults_.refuse = body.value("refuse", faults_.refuse);
        faults_.silent_old = body.value("silent_old", faults_.silent_old);
        faults_.wrong_id = body.value("wrong_id", faults_.wrong_id);
        faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
        exchange->reply(200, {}, "{}");
    }

    http_headers answer_headers(const std::string& id) const
    {
        const std::uint32_t free = options_.slots > running_ ? options_.slots - running_ : 0;
        http_headers headers = {{"X-Task-Id", faults_.wrong_id ? "another-task" : id},
                                {"X-Host", options_.host},
                                {"X-Free-Slots", std::to_string(free)}};
        if (faults_.leaving) {
            headers.emplace_back("X-Leaving", "1");
        }
        return headers;
    }

    void refuse(const http_exchange_ptr& exchange, const std::string& id, int status, const char* why) const
    {
        http_headers headers = answer_headers(id);
        headers.emplace_back("X-Not-Started", "1");
        exchange->reply(status, headers, why);
    }

    void start(const http_exchange_ptr& exchange)
    {
        const std::string id = exchange->header("X-Task-Id").value_or("");
        const std::int64_t now = waxwingnotch::wall_ms();
        const std::int64_t expires = std::stoll(exchange->header("X-Task-Expires-Ms").value_or("0"));
        if (id.empty()) {
            exchange->reply(400, {{"X-Not-Started", "1"}}, "X-Task-Id is missing");
        }
        else if (faults_.refuse) {
            exchange->drop();
        }
        else if (faults_.leaving) {
            refuse(exchange, id, 503, "leaving");
        }
        else if (expires != 0 && now > expires) {
            refuse(exchange, id, 503, "expired");
        }
        else if (running_ >= options_.slots) {
            refuse(exchange, id, 429, "no free slot");
        }
        else {
            run(exchange, id, now);
        }
    }

    /// The body says how the task behaves: {"run_ms": 5, "answer": "text"}; else it is echoed.
    void run(const http_exchange_ptr& exchange, const std::string& id, std::int64_t now)
    {
        ++running_;
        task& item = tasks_[id];
        item.service = exchange->header("X-Service").value_or("");
        item.state = "running";
        item.started_at = now;
        ++item.starts;
        item.exchange = exchange;
        const json body = json::parse(exchange->body(), nullptr, false);
        const bool scripted = body.is_object() && body.contains("run_ms");
        const std::int64_t run_ms = scripted ? body.value("run_ms", std::int64_t{0}) : 1;
        const std::string answer = scripted ? body.value("answer", std::string()) : exchange->body();
        const bool fails = faults_.fail_all || (body.is_object() && body.value("poison", false));
        const std::int64_t lease_ms = std::stoll(exchange->header("X-Lease-Ms").value_or("0"));
        const bool over = lease_ms > 0 && run_ms > lease_ms;
        item.end = loop_.after(over ? lease_ms : run_ms, [this, id, answer, fails, over] {
            finish(id, over ? "stopped" : (fails ? "failed" : "done"), over || fails ? 500 : 200, answer);
        });
    }

    void finish(const std::string& id, const char* state, int status, const std::string& answer)
    {
        task& item = tasks_[id];
        if (item.state != "running") {
            return;
        }
        --running_;
        item.state = state;
        item.ended_at = waxwingnotch::wall_ms();
        const http_exchange_ptr exchange = std::move(item.exchange);
        item.exchange.reset();
        if (faults_.lose_answers > 0) {
            --faults_.lose_answers;
            exchange->drop();
            return;
        }
        exchange->reply(status, answer_headers(id), status == 200 ? answer : std::string("task ") + state);
    }

    /// `/tasks/ID`, `/tasks/ID/checkpoint`, `/tasks/ID/throttle`.
    void control(const http_exchange_ptr& exchange, const std::string& rest)
    {
        const std::string id = rest.substr(0, rest.find('/'));
        const auto found = tasks_.find(id);
        if (found == tasks_.end()) {
            exchange->reply(404, {}, "unknown task");
            return;
        }
        if (exchange->method() == "DELETE") {
            finish(id, "stopped", 410, "stopped");
        }
        const task& item = found->second;
        exchange->reply(200, {}, json{{"state", item.state}, {"starts", item.starts}}.dump());
    }

    void usage(const http_exchange_ptr& exchange)
    {
        const std::int64_t now = waxwingnotch::wall_ms();
        if (now - usage_at_ >= options_.usage_lag_ms) {
            usage_at_ = now;
            reported_running_ = running_;
        }
        exchange->reply(
            200, {{"X-Host", options_.host}},
            json{{"running", reported_running_}, {"slots", options_.slots}, {"at", usage_at_}}.dump());
    }

    void records(const http_exchange_ptr& exchange) const
    {
        json items = json::array();
        for (const auto& [id, item] : tasks_) {
            items.push_back({{"task", id},
                             {"service", item.service},
                             {"state", item.state},
                             {"started_at", item.started_at},
                             {"ended_at", item.ended_at},
                             {"starts", item.starts}});
        }
        exchange->reply(200, {{"Content-Type", "application/json"}}, items.dump());
    }

    event_loop& loop_;
    worker_options options_;
    worker_faults faults_;
    std::map<std::string, task> tasks_;
    std::uint32_t running_ = 0;
    std::uint32_t reported_running_ = 0;
    std::int64_t usage_at_ = 0;
};

}  // namespace

std::unique_ptr<role> make_worker(event_loop& loop, const worker_options& options)
{
    return std::make_unique<worker_role>(loop, options);
}

}  // namespace standin
