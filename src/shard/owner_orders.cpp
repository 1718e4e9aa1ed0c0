/// Orders of an owner to the workers of its shard.
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"

#include <algorithm>
#include <string_view>

namespace waxwingnotch {

namespace {

// The node that passes a batch on sends a payload with each start: 12 kB take 50 ms of a link of 2 Mbit/s.
constexpr std::size_t max_relayed_bytes = 12'000;
constexpr std::size_t max_batch_starts = 16;

/// @return how many starts with the payload of @p start one batch may have
std::size_t batch_limit(const start_effect& start)
{
    const std::size_t fitting = max_relayed_bytes / (start.order.payload.size() + start_overhead_bytes);
    return std::clamp<std::size_t>(fitting, 1, max_batch_starts);
}

bool same_job(const start_order& one, const start_order& other)
{
    const std::string_view job = std::string_view(one.task).substr(0, one.task.find('.') + 1);
    return other.task.starts_with(job) && one.payload == other.payload;
}

/// @return the starts in batches, each of one job
std::vector<start_batch> batches_of(const std::vector<start_effect>& starts)
{
    std::vector<start_batch> batches;
    for (const start_effect& start : starts) {
        const auto open = std::ranges::find_if(batches, [&start](const start_batch& batch) {
            return batch.size() < batch_limit(start) && same_job(batch.front().order, start.order);
        });
        if (open != batches.end()) {
            open->push_back(start);
            continue;
        }
        batches.push_back({start});
    }
    return batches;
}

}  // namespace

void shard_owner::send_stop(const stop_effect& effect)
{
    const auto handle = [this, effect, alive = alive_](const order_answer& answer) {
        if (*alive) {
            core_.on_stop(effect.worker.id, effect.order, answer, monotonic_ms());
            pump_soon();
        }
    };
    if (!effect.relay) {
        parts_.workers->stop(effect.worker, effect.order, handle);
    }
    else if (parts_.relay_stop) {
        parts_.relay_stop(*effect.relay, effect.worker, effect.order, handle);
    }
}

void shard_owner::send_poll(const poll_effect& effect)
{
    const auto handle = [this, effect, sent = monotonic_ms(), alive = alive_](const poll_answer& answer) {
        if (!*alive) {
            return;
        }
        if (effect.relay) {
            core_.on_relayed_poll(effect, sent, answer, monotonic_ms());
        }
        else {
            core_.on_poll(effect.worker.id, sent, effect.extra, answer, monotonic_ms());
        }
        pump_soon();
    };
    if (!effect.relay) {
        parts_.workers->poll(effect.worker, effect.order, handle);
    }
    else if (parts_.relay_poll) {
        parts_.relay_poll(*effect.relay, effect.worker, effect.order, handle);
    }
    else {
        handle({});
    }
}

void shard_owner::send_starts(shard_effects& effects)
{
    if (!parts_.relay_starts) {
        for (const start_effect& effect : effects.starts) {
            send_start(effect);
        }
        return;
    }
    for (const start_batch& batch : batches_of(effects.starts)) {
        send_batch(batch);
    }
}

void shard_owner::send_batch(const start_batch& batch)
{
    const auto handle = [this, batch, sent = monotonic_ms(), alive = alive_](const batch_outcomes& outcomes) {
        if (*alive) {
            on_batch(batch, outcomes, sent);
        }
    };
    if (batch.size() > 1 && parts_.relay_starts(batch, handle)) {
        return;
    }
    for (const start_effect& effect : batch) {
        send_start(effect);
    }
}

/// A start that was certainly not sent goes straight to its worker, if that still fits the time.
void shard_owner::on_batch(const start_batch& batch, const batch_outcomes& outcomes, std::int64_t sent_ms)
{
    const std::int64_t left_ms = order_max_wait_ms - (monotonic_ms() - sent_ms);
    for (std::size_t index = 0; index < batch.size(); ++index) {
        const start_effect& effect = batch[index];
        if (outcomes[index]) {
            on_start(effect, {.outcome = *outcomes[index], .relayed = true});
            continue;
        }
        if (left_ms <= 0 || ended_) {
            on_start(effect, {.outcome = order_result::not_sent, .relayed = true});
            continue;
        }
        start_effect direct = effect;
        direct.order.max_wait_ms = left_ms;
        send_start(direct);
    }
}

void shard_owner::send_start(const start_effect& effect)
{
    parts_.workers->start(effect.worker, effect.order,
                          [this, effect, alive = alive_](const order_answer& answer) {
                              if (*alive) {
                                  on_start(effect, answer);
                              }
                          });
}

void shard_owner::on_start(const start_effect& effect, const order_answer& answer)
{
    core_.on_start(effect.worker.id, effect.order, answer, monotonic_ms());
    pump_soon();
}

}  // namespace waxwingnotch
