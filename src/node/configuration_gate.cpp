#include "node/configuration_gate.hpp"

#include "waxwingnotch/base/log.hpp"

#include <utility>

namespace waxwingnotch {

namespace {

constexpr std::int64_t retry_ms = 150;  // after a call that failed; several fit into the bound for a version

}  // namespace

configuration_gate::configuration_gate(event_loop& loop, service_shards& shards,
                                       std::function<void(config_ptr)> in_force)
    : loop_(loop), shards_(shards), in_force_(std::move(in_force))
{
}

configuration_gate::~configuration_gate()
{
    *alive_ = false;
}

void configuration_gate::offer(cluster_config config)
{
    if (newest_ && config.version <= newest_->version) {
        return;
    }
    newest_ = std::make_shared<const cluster_config>(std::move(config));
    waits_ = true;
    wait_logged_ = false;
    retry_.cancel();
    ensure_shards();
}

void configuration_gate::ensure_shards()
{
    shards_.ensure(newest_->service_names(), [this, offered = newest_, alive = alive_](store_status status) {
        if (!*alive || offered != newest_ || !waits_) {
            return;  // a newer version asks for itself
        }
        if (status == store_status::ok) {
            waits_ = false;
            in_force_(offered);
            return;
        }
        if (!wait_logged_) {
            wait_logged_ = true;
            log_event(log_level::warning, "configuration",
                      {{"version", offered->version},
                       {"outcome", "waits for the shards of its services"},
                       {"reason", to_string(status)}});
        }
        retry_ = loop_.after(retry_ms, [this] { ensure_shards(); });
    });
}

}  // namespace waxwingnotch
