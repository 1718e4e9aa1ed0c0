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

constexpr std::int64_t usage_lag_ms = 1'000;  // `/usage` may be this old

/// A task that runs or has ended.
struct task {
    json record = json::object();  // of its execution; state: running, done, failed or stopped
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
            update_faults(faults_, exchange);
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
    bool has_fault(const char* fault) const { return faults_.value(fault, false); }

    http_headers answer_headers(const std::string& id) const
    {
        const std::uint32_t free = slots_ > running_ ? slots_ - running_ : 0;
        http_headers headers = {{"X-Task-Id", has_fault("wrong_id") ? "another-task" : id},
                                {"X-Free-Slots", std::to_string(free)}};
        if (has_fault("leaving")) {
            headers.emplace_back("X-Leaving", "1");
        }
        return headers;
    }

    void refuse(const http_exchange_ptr& exchange, const std::string& id, int status, const char* reason)
    {
        refused_.push_back({{"task", id}, {"at", waxwingnotch::wall_ms()}, {"reason", reason}});
        http_headers headers = answer_headers(id);
        headers.emplace_back("X-Not-Started", "1");
        exchange->reply(status, headers, reason);
    }

    void start(const http_exchange_ptr& exchange)
    {
        const std::string id = exchange->header("X-Task-Id").value_or("");
        const std::int64_t now = waxwingnotch::wall_ms();
        const std::int64_t expires = std::stoll(exchange->header("X-Task-Expires-Ms").value_or("0"));
        if (id.empty()) {
            exchange->reply(400, {{"X-Not-Started", "1"}}, "X-Task-Id is missing");
        }
        else if (has_fault("refuse")) {
            exchange->close_without_reply();
        }
        else if (has_fault("leaving")) {
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

    /// Starts a task. A JSON body such as {"run_ms": 5, "answer": "text"} sets its run time and answer,
    /// {"poison": true} makes it fail; without "run_ms" the body is echoed after 1 ms.
    void run(const http_exchange_ptr& exchange, const std::string& id, std::int64_t now)
    {
        ++running_;
        task& item = tasks_[id];
        item.exchange = exchange;
        const json body = json::parse(exchange->body(), nullptr, false);
        const bool has_script = body.is_object() && body.contains("run_ms");
        const std::int64_t run_ms = has_script ? body.value("run_ms", std::int64_t{0}) : 1;
        const std::string answer = has_script ? body.value("answer", std::string()) : exchange->body();
        // `starts` above 1 shows that the same task ran more than once.
        item.record = {{"task", id},
                       {"service", exchange->header("X-Service").value_or("")},
                       {"answer", answer},
                       {"state", "running"},
                       {"started_at", now},
                       {"ended_at", 0},
                       {"starts", item.record.value("starts", 0) + 1}};
        const bool fails = has_fault("fail_all") || (body.is_object() && body.value("poison", false));
        const std::int64_t lease_ms = std::stoll(exchange->header("X-Lease-Ms").value_or("0"));
        const bool lease_lapses = lease_ms > 0 && run_ms > lease_ms;
        item.end = loop_.after(lease_lapses ? lease_ms : run_ms, [this, id, answer, fails, lease_lapses] {
            finish(id, lease_lapses ? "stopped" : (fails ? "failed" : "done"),
                   lease_lapses || fails ? 500 : 200, answer);
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

    /// Handles `/tasks/ID`, `/tasks/ID/checkpoint` and `/tasks/ID/throttle`. DELETE stops the task.
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

    /// Handles `/records`: lists refused tasks, which have no state, and executions.
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
    /// Faults, off by default: fail_all (every task runs and fails), leaving (new tasks are refused and
    /// answers say that the host leaves), refuse (the connection of a new task is dropped), wrong_id (answers
    /// name another task), lose_answers (number of next tasks that run and whose answers are dropped).
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
