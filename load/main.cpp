/// @file
/// Sends an open-loop load to entry nodes: each request is sent when it is due, whether or not earlier ones
/// were answered. The services peak in turns. The seed alone determines arrivals and run times.
#include "load.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/event_loop.hpp"
#include "waxwingnotch/net/http_client.hpp"

#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <map>

namespace {

using namespace load;

const char* const usage =
    R"(Sends a load to entry nodes and reports waiting time, goodput and outcomes per service.

Usage:
  waxwingnotch-load (--node=ADDRESS)... (--service=NAME)... [options]

Options:
  --node=ADDRESS    ip:port of an entry node; requests are spread over all of them
  --service=NAME    service to ask; the services peak in this order
  --seconds=S       length of the load [default: 20]
  --rate=R          mean requests per second and service [default: 100]
  --run-ms=MS       mean run time of short work [default: 200]
  --max-requests=N  the load ends after this many [default: 20000]
  --seed=N          of arrivals and run times [default: 20261204]
  --samples=FILE    write one line per request: at_ms,service,outcome,wait_ms,long
  --help
)";

constexpr std::int64_t send_tick_ms = 2;
/// Timeout of each request, and longest wait for answers after the last one.
constexpr std::int64_t answer_timeout_ms = 15'000;

class generator {
public:
    generator(std::vector<std::string> nodes, std::vector<std::string> services,
              std::vector<arrival> arrivals)
        : nodes_(std::move(nodes)), services_(std::move(services)), arrivals_(std::move(arrivals)),
          samples_(arrivals_.size())
    {
    }

    std::vector<sample> run()
    {
        started_ms_ = waxwingnotch::monotonic_ms();
        const waxwingnotch::timer send_timer = loop_.every(send_tick_ms, [this] { send_due(); });
        const std::int64_t time_limit_ms =
            arrivals_.empty() ? 0 : arrivals_.back().due_ms + answer_timeout_ms;
        const waxwingnotch::timer stop_timer = loop_.after(time_limit_ms, [this] { loop_.stop(); });
        loop_.run();
        return samples_;
    }

private:
    void send_due()
    {
        const std::int64_t now = waxwingnotch::monotonic_ms() - started_ms_;
        for (; next_ < arrivals_.size() && arrivals_[next_].due_ms <= now; ++next_) {
            send(next_);
        }
        if (answered_ == arrivals_.size()) {
            loop_.stop();
        }
    }

    void send(std::size_t index)
    {
        const arrival& request = arrivals_[index];
        waxwingnotch::http_call call;
        call.method = "POST";
        call.address = nodes_[index % nodes_.size()];
        call.path = "/v1/services/" + services_[request.service] + "/requests";
        call.body = R"({"run_ms": )" + std::to_string(request.run_ms) + R"(, "answer": ")" +
                    std::to_string(index) + "\"}";
        call.headers = {{"X-Urgency", request.urgent ? "urgent" : "normal"}};
        if (request.deadline_ms > 0) {
            call.headers.emplace_back("X-Deadline-Ms", std::to_string(request.deadline_ms));
        }
        if (!request.team.empty()) {
            call.headers.emplace_back("X-Team", request.team);
        }
        call.timeout_ms = answer_timeout_ms;
        call.reuse_connection = true;
        client_.send(
            call, [this, index](const waxwingnotch::http_answer& answer) { record_answer(index, answer); });
    }

    void record_answer(std::size_t index, const waxwingnotch::http_answer& answer)
    {
        ++answered_;
        const arrival& request = arrivals_[index];
        sample& result = samples_[index];
        // Counts from the time at which the request was due, so that a slow generator does not hide waiting.
        result.wait_ms = waxwingnotch::monotonic_ms() - started_ms_ - request.due_ms - request.run_ms;
        if (answer.outcome != waxwingnotch::call_outcome::answered) {
            result.outcome = "no-answer";
            return;
        }
        result.outcome = answer.header("X-Outcome").value_or("none");
        const bool correct = answer.body == std::to_string(index);
        if (result.outcome == "done" && !correct) {
            result.outcome = "wrong-answer";
        }
        if (result.outcome == "not-run") {
            result.outcome += "-" + std::to_string(answer.status);
        }
    }

    std::vector<std::string> nodes_;
    std::vector<std::string> services_;
    std::vector<arrival> arrivals_;
    std::vector<sample> samples_;
    waxwingnotch::event_loop loop_;
    waxwingnotch::http_client client_{loop_};
    std::int64_t started_ms_ = 0;
    std::size_t next_ = 0;
    std::size_t answered_ = 0;
};

std::int64_t quantile(const std::vector<std::int64_t>& sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void report(const std::string& service, std::size_t service_index, const std::vector<arrival>& arrivals,
            const std::vector<sample>& samples, double seconds)
{
    std::vector<std::int64_t> waits;
    std::map<std::string, std::size_t> outcomes;
    std::size_t sent = 0;
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        if (arrivals[index].service != service_index) {
            continue;
        }
        ++sent;
        ++outcomes[samples[index].outcome];
        if (samples[index].outcome == "done" && !arrivals[index].is_long) {
            waits.push_back(samples[index].wait_ms);
        }
    }
    std::sort(waits.begin(), waits.end());
    std::printf("%-20s asked %5zu  goodput %6.1f/s  short work waits p50 %5lld ms  p99 %5lld ms ",
                service.c_str(), sent, static_cast<double>(outcomes["done"]) / seconds,
                static_cast<long long>(quantile(waits, 0.5)), static_cast<long long>(quantile(waits, 0.99)));
    for (const auto& [outcome, count] : outcomes) {
        std::printf(" %s %zu", outcome.c_str(), count);
    }
    std::printf("\n");
}

void write_samples(const std::string& file, const std::vector<std::string>& services,
                   const std::vector<arrival>& arrivals, const std::vector<sample>& samples)
{
    std::ofstream out(file);
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        out << arrivals[index].due_ms << "," << services[arrivals[index].service] << ","
            << samples[index].outcome << "," << samples[index].wait_ms << "," << arrivals[index].is_long
            << "\n";
    }
}

}  // namespace

int main(int argc, char** argv)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::vector<std::string> services = options["--service"].asStringList();
    load_shape shape;
    shape.services = services.size();
    shape.seconds = std::stod(options["--seconds"].asString());
    shape.rate = std::stod(options["--rate"].asString());
    shape.run_ms = std::stod(options["--run-ms"].asString());
    shape.max_requests = static_cast<std::size_t>(options["--max-requests"].asLong());
    shape.seed = static_cast<std::uint64_t>(options["--seed"].asLong());
    const std::vector<arrival> arrivals = make_arrivals(shape);
    const std::vector<sample> samples = generator(options["--node"].asStringList(), services, arrivals).run();
    for (std::size_t index = 0; index < services.size(); ++index) {
        report(services[index], index, arrivals, samples, shape.seconds);
    }
    if (options["--samples"]) {
        write_samples(options["--samples"].asString(), services, arrivals, samples);
    }
    const bool wrong = std::any_of(samples.begin(), samples.end(),
                                   [](const sample& item) { return item.outcome == "wrong-answer"; });
    return wrong ? 1 : 0;
}
