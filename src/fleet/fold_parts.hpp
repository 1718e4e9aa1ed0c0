/// @file
/// The fold's handlers, one per type of record. Each returns an empty string if it accepts the
/// record, else the reason for the rejection.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <string>

namespace waxwingnotch {

/// Batch and log offset of a record.
struct record_origin {
    const batch& source;
    std::int64_t offset = 0;
};

std::string apply_publish(fleet_state& state, const record_origin& origin, const publish_record& item);
std::string apply_host(fleet_state& state, const record_origin& origin, const host_record& item);
std::string apply_condition(fleet_state& state, const record_origin& origin, const condition_record& item);
std::string apply_wave(fleet_state& state, const record_origin& origin, const wave_record& item);
std::string apply_claim(fleet_state& state, const record_origin& origin, const claim_record& item);
std::string apply_claim_end(fleet_state& state, const record_origin& origin, const claim_end_record& item);
std::string apply_snapshot_done(fleet_state& state, const record_origin& origin, const snapshot_done& item);
std::string apply_audit_segment(fleet_state& state, const record_origin& origin, const audit_segment& item);

/// Removes claims that are older than claim_ttl_ms.
void expire_claims(fleet_state& state);

}  // namespace waxwingnotch
