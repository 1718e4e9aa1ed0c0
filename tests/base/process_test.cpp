#include "waxwingnotch/base/process.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t limit = 200;  // more than a test program has open, fewer than the system allows

/// Descriptors that are open while it exists.
class open_files {
public:
    /// Opens until all numbers below @p end are open.
    explicit open_files(int end)
    {
        while (files_.empty() || files_.back() < end - 1) {
            files_.push_back(open("/dev/null", O_RDONLY | O_CLOEXEC));
        }
    }
    ~open_files()
    {
        for (const int file : files_) {
            close(file);
        }
    }
    open_files(const open_files&) = delete;
    open_files& operator=(const open_files&) = delete;

    /// Closes the first ones until the process has @p count descriptors.
    void close_until(std::int64_t count)
    {
        while (!files_.empty() && read_process_usage().open_descriptors > count) {
            close(files_.front());
            files_.erase(files_.begin());
        }
    }

private:
    std::vector<int> files_;
};

// Guards against a node that pauses its callers too early, or too late for its own calls.
TEST(descriptors, are_short_from_three_quarters_of_the_limit)
{
    {
        const open_files files(149);
        EXPECT_FALSE(descriptors_short(limit, false));
    }
    const open_files files(150);
    EXPECT_TRUE(descriptors_short(limit, false));
}

// Guards against a node that accepts callers again as soon as one descriptor is closed, and pauses them again
// with the next connection.
TEST(descriptors, stay_short_until_enough_are_closed)
{
    open_files files(150);
    files.close_until(read_process_usage().open_descriptors - 1);
    EXPECT_TRUE(descriptors_short(limit, true));
    files.close_until(120);
    EXPECT_TRUE(descriptors_short(limit, true));
    files.close_until(119);
    EXPECT_FALSE(descriptors_short(limit, true));
}

// Guards against a limit above the range of the computations, and against one that is not the system's.
TEST(descriptors, limit_is_that_of_the_system)
{
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    rlimit reduced = before;
    reduced.rlim_cur = 300;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &reduced), 0);
    EXPECT_EQ(process_descriptor_limit(), 300);
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_LE(process_descriptor_limit(), 1 << 20);
    EXPECT_GE(process_descriptor_limit(), 300);
}

}  // namespace
}  // namespace waxwingnotch
