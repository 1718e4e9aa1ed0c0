#include "bench.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>

// Compares three ways in which a node that cannot read the log gets its records from peers:
// pushing each record and acknowledging it, pushing without acknowledgement and asking for a
// gap after a wait (reactive error recovery: Martori and Urso, RR-8985, 2016), and not pushing
// at all but asking when a heartbeat shows that a peer is ahead, which is what the product does.

namespace bench {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int nodes = 8;            // one of them cannot read the log
constexpr double delay_ms = 1.0;    // mean one-way delay between nodes
constexpr double resend_ms = 20.0;  // after an unacknowledged push
constexpr double wait_ms = 8.0;     // before a gap is asked for
constexpr double beat_ms = 500.0;
constexpr double beat_wait_ms = 200.0;
constexpr double run_ms = 120'000.0;

/// What a run showed.
struct gap_result {
    double messages_per_record = 0;  // beats are left out: they are sent in any case
    double mean_ms = 0;              // from the log's append until the cut node has the record
    double p99_ms = 0;
};

/// A queue of actions in simulated time.
class schedule {
public:
    void at(double time, std::function<void()> action) { queue_.push({time, next_++, std::move(action)}); }
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
    int next_ = 0;
};

/// One run with one way of passing records on.
class gap_run {
public:
    gap_run(double rate_per_s, double loss) : rate_(rate_per_s), loss_(loss) {}

    gap_result push_and_acknowledge()
    {
        append_records([this](std::size_t record) {
            for (int peer = 1; peer < nodes; ++peer) {
                push(record, peer);
            }
        });
        return finish();
    }

    gap_result push_and_ask()
    {
        append_records([this](std::size_t record) {
            for (int peer = 1; peer < nodes; ++peer) {
                // Only the first peer's message to the cut node matters; the others are overhead.
                send([this, record, peer] {
                    if (peer == 1) {
                        take(record);
                        expect_all_before(record);
                    }
                });
            }
        });
        return finish();
    }

    gap_result ask_after_beat()
    {
        append_records([](std::size_t) {});
        for (double time = beat_ms; time < run_ms + 10 * beat_ms; time += beat_ms) {
            time_.at(time, [this] {
                const std::size_t ahead = appended_;
                // A beat may get lost as well; it is not counted.
                if (chance_(random_) >= loss_) {
                    time_.at(time_.now + delay(), [this, ahead] { ask_up_to(ahead); });
                }
            });
        }
        return finish();
    }

private:
    double delay() { return -delay_ms * std::log(1.0 - chance_(random_)); }

    void send(std::function<void()> arrive)
    {
        ++messages_;
        if (chance_(random_) >= loss_) {
            time_.at(time_.now + delay(), std::move(arrive));
        }
    }

    void append_records(const std::function<void(std::size_t)>& appended)
    {
        double time = 0;
        while (true) {
            time += -1000.0 / rate_ * std::log(1.0 - chance_(random_));
            if (time > run_ms) {
                return;
            }
            const std::size_t record = appended_at_.size();
            appended_at_.push_back(time);
            arrived_at_.push_back(-1);
            time_.at(time, [this, record, appended] {
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
                    take(record);
                }
                send([acknowledged] { *acknowledged = true; });
            });
            time_.at(time_.now + resend_ms, *attempt);
        };
        (*attempt)();
    }

    void take(std::size_t record)
    {
        if (arrived_at_[record] < 0) {
            arrived_at_[record] = time_.now;
        }
    }

    void expect_all_before(std::size_t record)
    {
        for (std::size_t missing = record > 64 ? record - 64 : 0; missing < record; ++missing) {
            if (arrived_at_[missing] < 0) {
                time_.at(time_.now + wait_ms, [this, missing] { ask(missing); });
            }
        }
    }

    void ask(std::size_t record)
    {
        if (arrived_at_[record] >= 0) {
            return;
        }
        send([this, record] { send([this, record] { take(record); }); });
        time_.at(time_.now + resend_ms, [this, record] { ask(record); });
    }

    /// One question and one answer for all records that are missing.
    void ask_up_to(std::size_t ahead)
    {
        time_.at(time_.now + beat_wait_ms, [this, ahead] {
            if (first_missing() >= ahead) {
                return;
            }
            send([this] {
                const std::size_t end = appended_;
                send([this, end] {
                    for (std::size_t record = first_missing(); record < end; ++record) {
                        take(record);
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
        time_.run();
        std::vector<double> times;
        for (std::size_t record = 0; record < appended_at_.size(); ++record) {
            if (arrived_at_[record] >= 0) {
                times.push_back(arrived_at_[record] - appended_at_[record]);
            }
        }
        std::sort(times.begin(), times.end());
        gap_result result;
        double sum = 0;
        for (const double time : times) {
            sum += time;
        }
        const auto count = static_cast<double>(appended_at_.size());
        result.messages_per_record = static_cast<double>(messages_) / count;
        result.mean_ms = times.empty() ? 0 : sum / static_cast<double>(times.size());
        result.p99_ms = times.empty() ? 0 : times[times.size() * 99 / 100];
        return result;
    }

    double rate_;
    double loss_;
    std::mt19937_64 random_{seed};
    std::uniform_real_distribution<double> chance_{0, 1};
    schedule time_;
    std::vector<double> appended_at_;
    std::vector<double> arrived_at_;
    std::size_t appended_ = 0;
    std::size_t missing_ = 0;
    long messages_ = 0;
};

void add(figures& out, const std::string& name, const gap_result& value, const gap_result& baseline)
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
            const gap_result acknowledged = gap_run(rate, loss).push_and_acknowledge();
            add(out, "reactive" + name, gap_run(rate, loss).push_and_ask(), acknowledged);
            add(out, "beat" + name, gap_run(rate, loss).ask_after_beat(), acknowledged);
        }
    }
}

}  // namespace bench
