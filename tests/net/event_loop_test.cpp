#include "waxwingnotch/net/event_loop.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace waxwingnotch {
namespace {

// Guards against SIGPIPE ending the process when a caller, a worker or a peer has closed its connection.
TEST(event_loop, a_write_to_a_closed_connection_does_not_end_the_process)
{
    const event_loop loop;
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    close(ends[1]);
    EXPECT_EQ(write(ends[0], "x", 1), -1);
    EXPECT_EQ(errno, EPIPE);
    close(ends[0]);
}

}  // namespace
}  // namespace waxwingnotch
