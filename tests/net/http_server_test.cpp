#include "waxwingnotch/net/http_server.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string_view>

namespace waxwingnotch {
namespace {

/// Lets this process open no further descriptor while it exists.
class descriptor_shortage {
public:
    descriptor_shortage()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = dup(STDIN_FILENO);
        close(lowest_free);
        rlimit reduced = before_;
        reduced.rlim_cur = static_cast<rlim_t>(lowest_free);
        setrlimit(RLIMIT_NOFILE, &reduced);
    }
    ~descriptor_shortage() { setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;

private:
    rlimit before_{};
};

class http_server_test : public ::testing::Test {
protected:
    http_server_test() : caller_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        server_.handle([this](const http_exchange_ptr& exchange) {
            ++requests_;
            exchange->reply(200, {}, "");
            loop_.stop();
        });
        port_ = server_.listen("127.0.0.1", 0).value();
    }
    void TearDown() override { close(caller_); }

    /// Sends a request while no descriptor is free for its connection. Runs the loop until accept() has
    /// failed.
    void call_without_descriptors()
    {
        const descriptor_shortage shortage;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port_);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(connect(caller_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
        constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        ASSERT_EQ(write(caller_, request.data(), request.size()), static_cast<ssize_t>(request.size()));
        run_for(20);
    }
    void run_for(std::int64_t limit_ms)
    {
        const timer limit = loop_.after(limit_ms, [this] { loop_.stop(); });
        loop_.run();
    }

    static constexpr std::int64_t longer_than_pause_ms = 300;  // after a failed accept
    static constexpr std::int64_t limit_ms = 20'000;           // ends a test that fails

    event_loop loop_;
    http_server server_{loop_};
    int caller_;
    std::uint16_t port_ = 0;
    int requests_ = 0;
};

// Guards against a server that its owner has paused and that accepts again once the pause after a failed
// accept is over.
TEST_F(http_server_test, a_paused_server_stays_paused_after_a_failed_accept)
{
    call_without_descriptors();
    server_.set_accepting(false);
    run_for(longer_than_pause_ms);
    EXPECT_EQ(requests_, 0);
    server_.set_accepting(true);
    run_for(limit_ms);
    EXPECT_EQ(requests_, 1);
}

// Guards against a server that never accepts again after accept() has failed.
TEST_F(http_server_test, accepts_again_after_a_failed_accept)
{
    call_without_descriptors();
    EXPECT_EQ(requests_, 0);
    run_for(limit_ms);
    EXPECT_EQ(requests_, 1);
}

}  // namespace
}  // namespace waxwingnotch
