#include "waxwingnotch/decision/stored_jobs.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {
namespace {

stored_job job(const std::string& id, const std::string& queue, const std::string& service, int shard,
               std::int64_t accepted_ms = 0, bool rerouted = false)
{
    return {.id = id,
            .queue = queue,
            .service = service,
            .shard = shard,
            .accepted_ms = accepted_ms,
            .rerouted = rerouted};
}

std::vector<std::pair<std::string, int>> away(const std::vector<stored_job>& jobs,
                                              const std::map<std::string, int>& homes,
                                              const std::map<std::string, int>& services)
{
    std::vector<std::pair<std::string, int>> rows;
    for (const stored_job& item : jobs_away_from_home(jobs, homes, services)) {
        rows.emplace_back(item.id, item.shard);
    }
    return rows;
}

using places = std::vector<std::pair<std::string, int>>;

// KNOWN-RED 22: services got shards by their number, whatever jobs of theirs were stored elsewhere.
TEST(stored_jobs, a_service_gets_the_shard_with_most_of_its_jobs)
{
    const std::vector<stored_job> jobs{job("1", "q", "a", 2), job("2", "q", "a", 5),
                                       job("3", "q", "a", 5), job("4", "q", "b", 1),
                                       job("5", "q", "b", 0), job("6", "q", "c", 3, 0, true)};
    EXPECT_EQ(shards_with_most_jobs(jobs), (std::map<std::string, int>{{"a", 5}, {"b", 0}}));
}

TEST(stored_jobs, the_home_of_a_path_is_where_most_jobs_of_its_queue_lie)
{
    const std::vector<stored_job> jobs{job("1", "q", "a", 2), job("2", "q", "b", 5), job("3", "q", "b", 5),
                                       job("4", "r", "c", 1)};
    EXPECT_EQ(place_with_most_jobs(jobs, "q", {"c", 7}), (service_place{"b", 5}));
    EXPECT_EQ(place_with_most_jobs(jobs, "idle", {"c", 7}), (service_place{"c", 7}));
}

// A request for their path, and each repeat, went to a shard that did not know them.
TEST(stored_jobs, jobs_that_their_path_does_not_lead_to_get_a_home)
{
    const std::vector<stored_job> jobs{job("1", "q", "a", 0), job("2", "q", "a", 1),
                                       job("3", "gone", "a", 0)};
    EXPECT_EQ(away(jobs, {{"q", 0}}, {{"a", 0}}), (places{{"2", 1}, {"3", 0}}));
}

// The owner of the workers has to know which runs are not its own.
TEST(stored_jobs, jobs_outside_of_the_shard_of_their_service_get_a_home)
{
    const std::vector<stored_job> jobs{job("1", "q", "a", 0), job("2", "r", "b", 0)};
    EXPECT_EQ(away(jobs, {{"q", 0}, {"r", 0}}, {{"a", 0}, {"b", 4}}), (places{{"2", 0}}));
}

TEST(stored_jobs, of_an_id_that_is_stored_twice_the_first_job_counts)
{
    const std::vector<stored_job> moved{job("1", "old", "b", 1, 20), job("1", "old", "a", 3, 10)};
    EXPECT_EQ(away(moved, {}, {}), (places{{"1", 3}}));
    const std::vector<stored_job> at_home{job("1", "old", "a", 3, 10), job("1", "q", "b", 1, 20)};
    EXPECT_EQ(away(at_home, {{"q", 1}}, {{"b", 1}}), places());
}

// Its home tells where a rerouted job runs.
TEST(stored_jobs, a_rerouted_job_needs_no_home_of_its_own)
{
    const std::vector<stored_job> jobs{job("1", "q", "b", 0, 5, true), job("1", "q", "b", 4, 5)};
    EXPECT_EQ(away(jobs, {{"q", 0}}, {{"b", 4}}), places());
}

}  // namespace
}  // namespace waxwingnotch
