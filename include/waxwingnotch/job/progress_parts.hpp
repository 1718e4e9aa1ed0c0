/// @file
/// Progress of an occurrence as several records. A record of the store is limited in size, and the
/// checkpoints of the tasks are as long as their workers make them. Each part holds consecutive tasks,
/// counted over all steps, and only parts with a changed task are written again.
///
/// A part that becomes too long is split in two. The record of the later tasks has to be stored with or
/// before the shortened one. A reader then finds each task at least once, and the part with the highest
/// first task is the newest that holds it.
#pragma once

#include "waxwingnotch/job/progress.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace waxwingnotch {

/// How an occurrence is divided into parts. Parts are split and never joined.
struct progress_parts {
    std::set<std::size_t> firsts = {0};   // number of the first task of each part
    std::set<std::size_t> changed = {0};  // parts that are to be written, by their first task

    /// Marks the part that holds the task.
    void mark(std::size_t task);
    void mark_all();
};

/// @return how many tasks stand before this one, over all steps
std::size_t number_of_task(const occurrence_progress& progress, std::size_t step, std::size_t index);
std::size_t count_tasks(const occurrence_progress& progress);

/// @param occurrence key of the occurrence, which is that of the first part too
/// @return key of a part; keys of one occurrence are in the order of the parts
std::string part_key(const std::string& occurrence, std::size_t first_task);

/// Encodes the changed parts, after splitting those that are longer than @p max_bytes; a single task stays
/// whole. Nothing is marked any more after that.
/// @return records by key
std::map<std::string, std::string> encode_changed_parts(const occurrence_progress& progress,
                                                        const std::string& occurrence, progress_parts& parts,
                                                        std::size_t max_bytes);

/// Progress that was put together from its parts.
struct joined_progress {
    occurrence_progress progress;
    progress_parts parts;  // none is marked
};

/// Puts the parts of an occurrence together. The caller checks the shape of the result: a part that is
/// missing at the end does not show here.
/// @param records by key; may hold those of other occurrences
/// @return an error if a part cannot be decoded, or one is missing between others
result<joined_progress> join_parts(const std::map<std::string, std::string>& records,
                                   const std::string& occurrence);

}  // namespace waxwingnotch
