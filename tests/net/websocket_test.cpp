#include "waxwingnotch/net/websocket_link.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

namespace {

/// A listener that echoes all messages.
class websocket_test : public ::testing::Test {
protected:
    void SetUp() override
    {
        const auto port = listener_.listen("127.0.0.1:0");
        ASSERT_TRUE(port);
        address_ = "127.0.0.1:" + std::to_string(port.value());
    }

    event_loop loop_;
    std::vector<websocket_link_ptr> accepted_;
    websocket_listener listener_{
        loop_, [this](const websocket_link_ptr& link) {
            accepted_.push_back(link);
            websocket_link* raw = link.get();
            link->set_handlers({nullptr, [raw](const std::string& text) { raw->send(text); }, nullptr});
        }};
    std::string address_;
};

}  // namespace

// Guards against messages that arrive truncated, merged or corrupted.
TEST_F(websocket_test, messages_arrive_complete_and_in_order)
{
    std::vector<std::string> sent = {"a", std::string(300'000, 'x'), std::string("\0\xff", 2), ""};
    std::vector<std::string> received;
    websocket_link_ptr link;
    link_handlers handlers;
    handlers.opened = [&] {
        for (const std::string& text : sent) {
            link->send(text);
        }
    };
    handlers.message = [&](const std::string& text) {
        received.push_back(text);
        if (received.size() == sent.size()) {
            loop_.stop();
        }
    };
    link = websocket_link::connect(loop_, address_, handlers);
    loop_.run();
    EXPECT_EQ(received, sent);
}

// Guards against waiting forever for a link that cannot connect.
TEST_F(websocket_test, a_refused_connection_is_reported)
{
    std::string reason;
    link_handlers handlers;
    handlers.closed = [&](const std::string& text) {
        reason = text;
        loop_.stop();
    };
    const websocket_link_ptr link = websocket_link::connect(loop_, "127.0.0.1:1", handlers);
    loop_.run();
    EXPECT_FALSE(reason.empty());
    EXPECT_FALSE(link->open());
}

// Guards against not noticing that the peer has closed the link.
TEST_F(websocket_test, a_close_by_the_peer_is_reported_once)
{
    int reports = 0;
    websocket_link_ptr link;
    link_handlers handlers;
    handlers.opened = [&] {
        accepted_.clear();
    };
    handlers.closed = [&](const std::string&) {
        ++reports;
        loop_.defer([&] { loop_.stop(); });
    };
    link = websocket_link::connect(loop_, address_, handlers);
    loop_.run();
    EXPECT_EQ(reports, 1);
    link->send("dropped");
}

}  // namespace waxwingnotch
