/// @file
/// Drives entry nodes with an open-loop load: requests are sent at their time, whatever the answers do.
/// The services peak in turns. Arrivals and run times follow from the seed alone.
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
constexpr std::int64_t last_answer_ms = 15'000;  // wait for answers after the last request

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
        started_ = waxwingnotch::monotonic_ms();
        const waxwingnotch::timer ticker = loop_.every(send_tick_ms, [this] { send_due(); });
        const std::int64_t end = arrivals_.empty() ? 0 : arrivals_.back().at_ms + last_answer_ms;
        const waxwingnotch::timer limit = loop_.after(end, [this] { loop_.stop(); });
        loop_.run();
        return samples_;
    }

private:
    void send_due()
    {
        const std::int64_t now = waxwingnotch::monotonic_ms() - started_;
        for (; next_ < arrivals_.size() && arrivals_[next_].at_ms <= now; ++next_) {
            send(next_);
        }
        if (answered_ == arrivals_.size()) {
            loop_.stop();
        }
    }

    void send(std::size_t index)
    {
        const arrival& one = arrivals_[index];
        waxwingnotch::http_call call;
        call.method = "POST";
        call.address = nodes_[index % nodes_.size()];
        call.path = "/v1/services/" + services_[one.service] + "/requests";
        call.body = R"({"run_ms": )" + std::to_string(one.run_ms) + R"(, "answer": ")" +
                    std::to_string(index) + "\"}";
        call.headers = {{"X-Urgency", one.urgent ? "urgent" : "normal"}};
        if (one.deadline_ms > 0) {
            call.headers.emplace_back("X-Deadline-Ms", std::to_string(one.deadline_ms));
        }
        if (!one.team.empty()) {
            call.headers.emplace_back("X-Team", one.team);
        }
        call.timeout_ms = last_answer_ms;
        call.reuse_connection = true;
        client_.send(call, [this, index](const waxwingnotch::http_answer& answer) { take(index, answer); });
    }

    void take(std::size_t index, const waxwingnotch::http_answer& answer)
    {
        ++answered_;
        const arrival& one = arrivals_[index];
        sample& result = samples_[index];
        // From the time at which it was due, so that a slow generator does not hide waiting.
        result.wait_ms = waxwingnotch::monotonic_ms() - started_ - one.at_ms - one.run_ms;
        if (answer.outcome != waxwingnotch::call_outcome::answered) {
            result.outcome = "no-answer";
            return;
        }
        result.outcome = answer.header("X-Outcome").value_or("none");
        const bool whole = answer.body == std::to_string(index);
        if (result.outcome == "done" && !whole) {
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
    std::int64_t started_ = 0;
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

void report(const std::string& service, std::size_t index, const std::vector<arrival>& arrivals,
            const std::vector<sample>& samples, double seconds)
{
    std::vector<std::int64_t> waits;
    std::map<std::string, std::size_t> outcomes;
    std::size_t asked = 0;
    for (std::size_t at = 0; at < arrivals.size(); ++at) {
        if (arrivals[at].service != index) {
            continue;
        }
        ++asked;
        ++outcomes[samples[at].outcome];
        if (samples[at].outcome == "done" && !arrivals[at].is_long) {
            waits.push_back(samples[at].wait_ms);
        }
    }
    std::sort(waits.begin(), waits.end());
    std::printf("%-20s asked %5zu  goodput %6.1f/s  short work waits p50 %5lld ms  p99 %5lld ms ",
                service.c_str(), asked, static_cast<double>(outcomes["done"]) / seconds,
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
    for (std::size_t at = 0; at < arrivals.size(); ++at) {
        out << arrivals[at].at_ms << "," << services[arrivals[at].service] << "," << samples[at].outcome
            << "," << samples[at].wait_ms << "," << arrivals[at].is_long << "\n";
    }
}

}  // namespace

int main(int argc, char** argv)
{
    auto given = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    const std::vector<std::string> services = given["--service"].asStringList();
    load_shape shape;
    shape.services = services.size();
    shape.seconds = std::stod(given["--seconds"].asString());
    shape.rate = std::stod(given["--rate"].asString());
    shape.run_ms = std::stod(given["--run-ms"].asString());
    shape.max_requests = static_cast<std::size_t>(given["--max-requests"].asLong());
    shape.seed = static_cast<std::uint64_t>(given["--seed"].asLong());
    const std::vector<arrival> arrivals = make_arrivals(shape);
    const std::vector<sample> samples = generator(given["--node"].asStringList(), services, arrivals).run();
    for (std::size_t index = 0; index < services.size(); ++index) {
        report(services[index], index, arrivals, samples, shape.seconds);
    }
    if (given["--samples"]) {
        write_samples(given["--samples"].asString(), services, arrivals, samples);
    }
    const bool wrong = std::any_of(samples.begin(), samples.end(),
                                   [](const sample& one) { return one.outcome == "wrong-answer"; });
    return wrong ? 1 : 0;
}
