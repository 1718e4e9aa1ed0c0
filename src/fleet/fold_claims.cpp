#include "fleet/fold_parts.hpp"

namespace waxwingnotch {

namespace {

/// Removes entries of released claims from the expiry order once they make up more than half of it.
void compact_claim_order(fleet_state& state)
{
    if (state.claim_order.size() <= 2 * state.claims.size() + 1'024) {
        return;
    }
    std::erase_if(state.claim_order, [&](const auto& item) {
        const auto found = state.claims.find(item.second);
        return found == state.claims.end() || found->second.claimed_at != item.first;
    });
}

}  // namespace

std::string apply_claim(fleet_state& state, const record_origin& origin, const claim_record& item)
{
    const auto found = state.claims.find(item.key);
    if (found != state.claims.end()) {
        const claim_state& claim = found->second;
        return "claimed by " + claim.node + " at offset " + std::to_string(claim.offset) + " for request " +
               claim.request_id;
    }
    if (state.claims.size() >= max_claims) {
        return "the claim table is full with " + std::to_string(max_claims) + " keys";
    }
    state.claims[item.key] = {origin.source.writer, origin.source.incarnation,
                              item.request_id,      state.log_time,
                              origin.offset,        false,
                              claim_end::done};
    state.claim_order.emplace_back(state.log_time, item.key);
    compact_claim_order(state);
    return {};
}

std::string apply_claim_end(fleet_state& state, const record_origin& origin, const claim_end_record& item)
{
    const auto found = state.claims.find(item.key);
    if (found == state.claims.end()) {
        return "no such claim";
    }
    claim_state& claim = found->second;
    const bool is_holder = claim.node == origin.source.writer &&
                           claim.incarnation == origin.source.incarnation &&
                           claim.request_id == item.request_id;
    if (!is_holder) {
        return "the claim belongs to request " + claim.request_id + " of " + claim.node;
    }
    if (claim.ended) {
        return std::string("the claim ended as ") + to_string(claim.end);
    }
    if (item.end == claim_end::released) {
        state.claims.erase(found);
        return {};
    }
    claim.ended = true;
    claim.end = item.end;
    return {};
}

void expire_claims(fleet_state& state)
{
    while (!state.claim_order.empty() && state.claim_order.front().first + claim_ttl_ms < state.log_time) {
        const auto& [claimed_at, key] = state.claim_order.front();
        const auto found = state.claims.find(key);
        // The key may have been released and claimed again since.
        if (found != state.claims.end() && found->second.claimed_at == claimed_at) {
            state.claims.erase(found);
        }
        state.claim_order.pop_front();
    }
}

}  // namespace waxwingnotch
