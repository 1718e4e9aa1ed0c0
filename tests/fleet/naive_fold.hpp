/// @file
/// Reference implementation of the fold for differential tests. It keeps every accepted record and answers
/// each query by reading all of them. No indexes, no snapshots, no expiry.
#pragma once

#include "waxwingnotch/fleet/fold.hpp"

#include <optional>
#include <string>
#include <vector>

namespace waxwingnotch {

/// State of a host after replaying its history.
struct naive_host {
    std::string pool;
    std::int64_t epoch = 0;
    host_phase phase = host_phase::serving;
    host_condition condition = host_condition::up;
    bool removed = false;
};

/// Folds by replaying the complete history.
class naive_fold {
public:
    /// @return for each record whether it is accepted; nothing if the whole batch is dropped
    std::optional<std::vector<bool>> apply(const log_entry& entry);

    std::int64_t version(document kind) const;
    std::string content(document kind) const;
    std::vector<std::string> host_names() const;
    std::optional<naive_host> find_host(const std::string& name) const;
    std::optional<claim_state> find_claim(const std::string& key) const;
    wave_state wave() const;
    std::vector<audit_entry> decisions() const;
    std::size_t sealed() const;  // number of decisions in segments
    std::vector<audit_segment> segments() const;
    std::int64_t snapshot_up_to() const;

private:
    /// An accepted record and its effects.
    struct history_entry {
        std::int64_t offset = 0;
        std::int64_t time = 0;
        batch author;
        record item;
        std::string content;   // complete document, of a publication
        inventory machines;    // of a publication of an inventory
        audit_entry decision;  // `what` is empty if the record is not a decision
    };

    bool accept(history_entry& next) const;
    bool accepts(history_entry& next, const publish_record& item) const;
    bool accepts(history_entry& next, const host_record& item) const;
    bool accepts(history_entry& next, const condition_record& item) const;
    bool accepts(history_entry& next, const wave_record& item) const;
    bool accepts(history_entry& next, const claim_record& item) const;
    bool accepts(history_entry& next, const claim_end_record& item) const;
    bool accepts(history_entry& next, const audit_segment& item) const;
    bool accepts(history_entry& next, const snapshot_done& item) const;
    bool accepts(history_entry&, const snapshot_chunk&) const { return true; }
    bool keeps_budget(const naive_host& candidate) const;
    void set_decision(history_entry& next, std::string what, std::string subject, std::string from,
                      std::string to, std::string reason, std::string by, authority basis) const;
    authority versions() const;

    std::vector<history_entry> history_;
    std::vector<std::pair<std::int64_t, batch>> batches_;  // offset and batch; without dropped batches
    std::int64_t log_time_ = 0;
};

}  // namespace waxwingnotch
