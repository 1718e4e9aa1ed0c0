#include "standin.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <map>

namespace standin {

namespace {

using nlohmann::json;
using waxwingnotch::event_loop;
using waxwingnotch::http_exchange_ptr;
using waxwingnotch::http_headers;
using waxwingnotch::timer;

constexpr std::int64_t usage_lag_ms = 1'000;

/// A task, running or over.
struct task {
    json record = json::object();  // of its execution: state is running, done, failed or stopped
    http_exchange_ptr exchange;
    timer end;
};

class worker_role {
public:
    worker_role(event_loop& loop, std::uint32_t slots) : loop_(loop), slots_(slots) {}

    void handle(const http_exchange_ptr& exchange)
    {
        const std::string& path = exchange->path();
        if (path == "/fault") {
            take_faults(faults_, exchange);
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
    bool on(const char* fault) const { return faults_.value(fault, false); }

    http_headers answer_headers(const std::string& id) const
    {
        const std::uint32_t free = slots_ > running_ ? slots_ - running_ : 0;
        http_headers headers = {{"X-Task-Id", on("wrong_id") ? "another-task" : id},
                                {"X-Free-Slots", std::to_string(free)}};
        if (on("leaving")) {
            headers.emplace_back("X-Leaving", "1");
        }
        return headers;
    }

    void refuse(const http_exchange_ptr& exchange, const std::string& id, int status, const char* why)
    {
        refused_.push_back({{"task", id}, {"at", waxwingnotch::wall_ms()}, {"reason", why}});
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
        else if (on("refuse")) {
            exchange->close_without_reply();
        }
        else if (on("leaving")) {
            refuse(exchange, id, 503, "leaving");
        }
        else if (expires != 0 && now > expires) {
            refuse(exchange, id, 503, "expired");
        }
        else if (running_ >= slots_) {
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
        item.exchange = exchange;
        const json body = json::parse(exchange->body(), nullptr, false);
        const bool scripted = body.is_object() && body.contains("run_ms");
        const std::int64_t run_ms = scripted ? body.value("run_ms", std::int64_t{0}) : 1;
        const std::string answer = scripted ? body.value("answer", std::string()) : exchange->body();
        // More than one start: the same task ran twice.
        item.record = {{"task", id},
                       {"service", exchange->header("X-Service").value_or("")},
                       {"answer", answer},
                       {"state", "running"},
                       {"started_at", now},
                       {"ended_at", 0},
                       {"starts", item.record.value("starts", 0) + 1}};
        const bool fails = on("fail_all") || (body.is_object() && body.value("poison", false));
        const std::int64_t lease_ms = std::stoll(exchange->header("X-Lease-Ms").value_or("0"));
        const bool over = lease_ms > 0 && run_ms > lease_ms;
        item.end = loop_.after(over ? lease_ms : run_ms, [this, id, answer, fails, over] {
            finish(id, over ? "stopped" : (fails ? "failed" : "done"), over || fails ? 500 : 200, answer);
        });
    }

    void finish(const std::string& id, const char* state, int status, const std::string& answer)
    {
        task& item = tasks_[id];
        if (item.record.value("state", "") != "running") {
            return;
        }
        --running_;
        item.record["state"] = state;
        item.record["ended_at"] = waxwingnotch::wall_ms();
        const http_exchange_ptr exchange = std::move(item.exchange);
        item.exchange.reset();
        if (const int lost = faults_.value("lose_answers", 0); lost > 0) {
            faults_["lose_answers"] = lost - 1;
            exchange->close_without_reply();
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
        exchange->reply(200, {}, found->second.record.dump());
    }

    void usage(const http_exchange_ptr& exchange)
    {
        const std::int64_t now = waxwingnotch::wall_ms();
        if (now - usage_at_ >= usage_lag_ms) {
            usage_at_ = now;
            reported_running_ = running_;
        }
        exchange->reply(200, answer_headers(""),
                        json{{"running", reported_running_}, {"slots", slots_}, {"at", usage_at_}}.dump());
    }

    /// `/records`: executions, and refused tasks, which have no state.
    void records(const http_exchange_ptr& exchange) const
    {
        json items = refused_;
        for (const auto& [id, item] : tasks_) {
            items.push_back(item.record);
        }
        exchange->reply(200, {{"Content-Type", "application/json"}}, items.dump());
    }

    event_loop& loop_;
    std::uint32_t slots_;
    /// Faults, off by default: fail_all (starts and fails every task), leaving (refuses new tasks),
    /// refuse (drops requests unread), wrong_id (echoes a foreign task id), lose_answers (next
    /// tasks run, their answers do not arrive).
    json faults_ = json::object();
    std::map<std::string, task> tasks_;
    json refused_ = json::array();
    std::uint32_t running_ = 0;
    std::uint32_t reported_running_ = 0;
    std::int64_t usage_at_ = 0;
};

}  // namespace

role make_worker(event_loop& loop, std::uint32_t slots)
{
    return
        [self = std::make_shared<worker_role>(loop, slots)](const waxwingnotch::http_exchange_ptr& exchange) {
            self->handle(exchange);
        };
}

}  // namespace standin
