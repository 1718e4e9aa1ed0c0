#include "waxwingnotch/entry/claim_desk.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t guard_ms = 60'000;

// Guards against repeats that wait at a node whose own claim of the key is rejected: they were
// forgotten and told "not run" at their time limit, although the key had run at another node.
TEST(claim_desk, repeats_hear_of_a_key_that_another_node_has_claimed)
{
    event_loop loop;
    http_client client(loop);
    fleet_view view;
    http_server log(loop);
    log.handle([&](const http_exchange_ptr& exchange) {
        const batch other{"other", 1, 1, 0, {claim_record{"key", "other-1"}}};
        const std::vector<log_entry> entries = {{0, 1, encode(other)}, {1, 2, exchange->body()}};
        exchange->reply(200, {}, "{}");
        view.take(entries);
    });
    const auto port = log.listen("127.0.0.1", 0);
    ASSERT_TRUE(port);
    log_appender appender(loop, client, {"127.0.0.1:" + std::to_string(port.value()), "self", 1, [&] {
                                             return view.state().next_offset;
                                         }});
    view.on_verdict([&](const verdict& one) { appender.settle(one); });
    peer_mesh mesh(loop, {"self", {}}, {});
    claim_desk desk(loop, "self", view, appender, mesh);

    std::vector<outcome> answers;
    const auto note = [&](const claim_result& result) {
        EXPECT_FALSE(result.granted);
        answers.push_back(result.refusal.result);
        if (answers.size() == 2) {
            loop.stop();
        }
    };
    desk.claim("key", "self-1", note);
    desk.claim("key", "self-2", note);
    const timer guard = loop.after(guard_ms, [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(answers, (std::vector<outcome>{outcome::unknown, outcome::unknown}));
}

}  // namespace
}  // namespace waxwingnotch
