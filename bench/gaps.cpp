#include "bench.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>

// Compares three ways in which a node that cannot read the log gets its records from peers:
// - Each record is pushed and acknowledged.
// - Each record is pushed without acknowledgement, and the receiver requests a gap after a wait
//   (reactive error recovery: Martori and Urso, RR-8985, 2016).
// - Nothing is pushed. The node requests records when a heartbeat shows that a peer is ahead.
//   The product works in this way.

namespace bench {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int nodes = 8;                     // one of them cannot read the log
constexpr double mean_delay_ms = 1.0;        // one way, between nodes
constexpr double resend_interval_ms = 20.0;  // of an unacknowledged push or an unanswered request
constexpr double gap_wait_ms = 8.0;          // before the receiver requests a gap
constexpr double heartbeat_interval_ms = 500.0;
constexpr double heartbeat_wait_ms = 200.0;  // from a heartbeat to the request for missing records
constexpr double duration_ms = 120'000.0;

/// Result of a simulation.
struct gap_result {
    double messages_per_record = 0;  // without heartbeats, which are sent in any case
    double mean_ms = 0;              // from the append to the log until the disconnected node has the record
    double p99_ms = 0;
};

/// Runs actions in the order of simulated time.
class schedule {
public:
    void at(double time, std::function<void()> action)
    {
        queue_.push({time, next_order_++, std::move(action)});
    }
    void run()
    {
        while (!queue_.empty()) {
            const item next = queue_.top();
            queue_.pop();
            now = next.time;
            next.action();
        }
    }
    double now = 0;

private:
    struct item {
        double time;
        int order;
        std::function<void()> action;
        bool operator<(const item& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };
    std::priority_queue<item> queue_;
    int next_order_ = 0;
};

/// One simulation. Call one of its public functions once.
class gap_simulation {
public:
    gap_simulation(double rate_per_s, double loss) : rate_(rate_per_s), loss_(loss) {}

    gap_result push_and_acknowledge()
    {
        append_records([this](std::size_t record) {
            for (int peer = 1; peer < nodes; ++peer) {
                push(record, peer);
            }
        });
        return finish();
    }

    gap_result push_and_request_gaps()
    {
        append_records([this](std::size_t record) {
            for (int peer = 1; peer < nodes; ++peer) {
                // Only the message of peer 1 delivers the record to the disconnected node. The others count
                // as overhead.
                send([this, record, peer] {
                    if (peer == 1) {
                        receive(record);
                        schedule_gap_requests(record);
                    }
                });
            }
        });
        return finish();
    }

    gap_result request_after_heartbeat()
    {
        append_records([](std::size_t) {});
        for (double time = heartbeat_interval_ms; time < duration_ms + 10 * heartbeat_interval_ms;
             time += heartbeat_interval_ms) {
            schedule_.at(time, [this] {
                const std::size_t log_end = appended_;
                // A heartbeat may be lost too. It is not counted as a message.
                if (uniform_(random_) >= loss_) {
                    schedule_.at(schedule_.now + delay(), [this, log_end] { request_missing(log_end); });
                }
            });
        }
        return finish();
    }

private:
    double delay() { return -mean_delay_ms * std::log(1.0 - uniform_(random_)); }

    void send(std::function<void()> arrive)
    {
        ++messages_;
        if (uniform_(random_) >= loss_) {
            schedule_.at(schedule_.now + delay(), std::move(arrive));
        }
    }

    void append_records(const std::function<void(std::size_t)>& appended)
    {
        double time = 0;
        while (true) {
            time += -1000.0 / rate_ * std::log(1.0 - uniform_(random_));
            if (time > duration_ms) {
                return;
            }
            const std::size_t record = appended_at_.size();
            appended_at_.push_back(time);
            arrived_at_.push_back(-1);
            schedule_.at(time, [this, record, appended] {
                appended_ = record + 1;
                appended(record);
            });
        }
    }

    void push(std::size_t record, int peer)
    {
        auto acknowledged = std::make_shared<bool>(false);
        auto attempt = std::make_shared<std::function<void()>>();
        *attempt = [this, record, peer, acknowledged, attempt] {
            if (*acknowledged) {
                return;
            }
            send([this, record, peer, acknowledged] {
                if (peer == 1) {
                    receive(record);
                }
                send([acknowledged] { *acknowledged = true; });
            });
            schedule_.at(schedule_.now + resend_interval_ms, *attempt);
        };
        (*attempt)();
    }

    void receive(std::size_t record)
    {
        if (arrived_at_[record] < 0) {
            arrived_at_[record] = schedule_.now;
        }
    }

    void schedule_gap_requests(std::size_t record)
    {
        for (std::size_t missing = record > 64 ? record - 64 : 0; missing < record; ++missing) {
            if (arrived_at_[missing] < 0) {
                schedule_.at(schedule_.now + gap_wait_ms, [this, missing] { request_record(missing); });
            }
        }
    }

    void request_record(std::size_t record)
    {
        if (arrived_at_[record] >= 0) {
            return;
        }
        send([this, record] { send([this, record] { receive(record); }); });
        schedule_.at(schedule_.now + resend_interval_ms, [this, record] { request_record(record); });
    }

    /// After a wait, requests all missing records with one message, which gets one answer.
    void request_missing(std::size_t log_end)
    {
        schedule_.at(schedule_.now + heartbeat_wait_ms, [this, log_end] {
            if (first_missing() >= log_end) {
                return;
            }
            send([this] {
                const std::size_t end = appended_;
                send([this, end] {
                    for (std::size_t record = first_missing(); record < end; ++record) {
                        receive(record);
                    }
                });
            });
        });
    }

    std::size_t first_missing()
    {
        while (missing_ < arrived_at_.size() && arrived_at_[missing_] >= 0) {
            ++missing_;
        }
        return missing_;
    }

    gap_result finish()
    {
        schedule_.run();
        std::vector<double> delays;
        for (std::size_t record = 0; record < appended_at_.size(); ++record) {
            if (arrived_at_[record] >= 0) {
                delays.push_back(arrived_at_[record] - appended_at_[record]);
            }
        }
        std::sort(delays.begin(), delays.end());
        gap_result result;
        double sum = 0;
        for (const double time : delays) {
            sum += time;
        }
        const auto count = static_cast<double>(appended_at_.size());
        result.messages_per_record = static_cast<double>(messages_) / count;
        result.mean_ms = delays.empty() ? 0 : sum / static_cast<double>(delays.size());
        result.p99_ms = delays.empty() ? 0 : delays[delays.size() * 99 / 100];
        return result;
    }

    double rate_;
    double loss_;
    std::mt19937_64 random_{seed};
    std::uniform_real_distribution<double> uniform_{0, 1};
    schedule schedule_;
    std::vector<double> appended_at_;
    std::vector<double> arrived_at_;
    std::size_t appended_ = 0;
    std::size_t missing_ = 0;
    long messages_ = 0;
};

void add_figures(figures& out, const std::string& name, const gap_result& value, const gap_result& baseline)
{
    out.push_back(
        {"gap_messages_" + name, value.messages_per_record, "per-rec", baseline.messages_per_record});
    out.push_back({"gap_mean_" + name, value.mean_ms, "ms", baseline.mean_ms});
    out.push_back({"gap_p99_" + name, value.p99_ms, "ms", baseline.p99_ms});
}

}  // namespace

void bench_gaps(figures& out)
{
    for (const double rate : {2.0, 50.0}) {
        for (const double loss : {0.0, 0.05}) {
            const std::string name = "_rate" + std::to_string(static_cast<int>(rate)) + "_loss" +
                                     std::to_string(static_cast<int>(loss * 100));
            const gap_result acknowledged = gap_simulation(rate, loss).push_and_acknowledge();
            add_figures(out, "reactive" + name, gap_simulation(rate, loss).push_and_request_gaps(),
                        acknowledged);
            add_figures(out, "beat" + name, gap_simulation(rate, loss).request_after_heartbeat(),
                        acknowledged);
        }
    }
}

}  // namespace bench
