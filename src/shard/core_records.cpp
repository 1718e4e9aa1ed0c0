/// Records of the progress of a shard: what is written with the next batch.
#include "shard/core_parts.hpp"

#include "waxwingnotch/base/log.hpp"

namespace waxwingnotch {

namespace {

// Of a record with one task, beside its checkpoint: the key, empty earlier steps, runs, given-up runs.
constexpr std::size_t task_row_bytes = 4'096;
constexpr std::int64_t checkpoint_report_interval_ms = 1'000;  // between reports of checkpoints too long

}  // namespace

/// Marks all tasks of an occurrence for the next batch.
void shard_core::mark_changed(occurrence_entry& occurrence)
{
    occurrence.parts.mark_all();
    note_change(occurrence);
}

/// Marks one task for the next batch, with the others of its record.
void shard_core::mark_changed(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index)
{
    occurrence.parts.mark(number_of_task(occurrence.progress, step, index));
    note_change(occurrence);
}

void shard_core::note_change(occurrence_entry& occurrence)
{
    if (update_notes(occurrence) == nullptr) {
        dirty_.insert(&occurrence);
    }
    occurrence.ranking_until_ms = 0;
    batch_needed_ = true;
}

/// Keeps the checkpoint of a task, unless no record of the store could hold it. Then the task goes on from
/// its latest shorter one, if its run is lost.
void shard_core::keep_checkpoint(occurrence_entry& occurrence, std::uint32_t step, std::uint32_t index,
                                 const std::string& checkpoint, std::int64_t now_ms)
{
    if (checkpoint.empty()) {
        return;
    }
    if (checkpoint.size() + task_row_bytes <= options_.max_record_bytes) {
        occurrence.task(step, index).checkpoint = checkpoint;
        return;
    }
    ++counts_.checkpoints_too_long;
    if (now_ms - last_checkpoint_report_ms_ < checkpoint_report_interval_ms) {
        return;
    }
    last_checkpoint_report_ms_ = now_ms;
    log_event(log_level::warning, "checkpoint_too_long",
              {{"shard", options_.shard},
               {"task", to_string(task_name{occurrence.job->spec.id, occurrence.number, step, index})},
               {"bytes", checkpoint.size()},
               {"limit", options_.max_record_bytes - task_row_bytes},
               {"so_far", counts_.checkpoints_too_long}});
}

}  // namespace waxwingnotch
