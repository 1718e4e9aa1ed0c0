/// Orders of an owner to the workers of its shard.
#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/shard/shard_owner.hpp"

namespace waxwingnotch {

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
    for (const start_effect& effect : effects.starts) {
        parts_.workers->start(effect.worker, effect.order,
                              [this, effect, alive = alive_](const order_answer& answer) {
                                  if (*alive) {
                                      core_.on_start(effect.worker.id, effect.order, answer, monotonic_ms());
                                      pump_soon();
                                  }
                              });
    }
}

}  // namespace waxwingnotch
