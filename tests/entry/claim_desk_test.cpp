#include "waxwingnotch/entry/claim_desk.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t guard_ms = 60'000;

/// A claim desk of node "self" with a log that the test answers.
class claim_desk_test : public testing::Test {
protected:
    claim_desk_test()
    {
        log.handle([this](const http_exchange_ptr& exchange) { append(exchange); });
        view.on_verdict([this](const verdict& one) { appender.apply_verdict(one); });
    }

    static log_entry foreign_claim()
    {
        return {0, 1, encode(batch{"other", 1, 1, 0, {claim_record{"key", "other-1"}}})};
    }

    /// Claims "key" and ends the loop after @p last answers.
    void claim(const std::string& request, std::size_t last)
    {
        desk.claim("key", request, [this, last](const claim_result& result) {
            EXPECT_FALSE(result.granted);
            answers.push_back(result.refusal.result);
            if (answers.size() == last) {
                loop.stop();
            }
        });
    }

    event_loop loop;
    http_client client{loop};
    fleet_view view;
    http_server log{loop};
    std::function<void(const http_exchange_ptr&)> append;
    log_appender appender{
        loop, client, {"127.0.0.1:" + std::to_string(log.listen("127.0.0.1", 0).value()), "self", 1, [this] {
                           return view.state().next_offset;
                       }}};
    peer_mesh mesh{loop, {"self", {}}, {}};
    claim_desk desk{loop, "self", view, appender, mesh};
    std::vector<outcome> answers;
    timer guard = loop.after(guard_ms, [this] { loop.stop(); });
};

// Guards against repeats that wait at a node whose own claim of the key is rejected: they were
// forgotten and told "not run" at their time limit, although the key had run at another node.
TEST_F(claim_desk_test, repeats_hear_of_a_key_that_another_node_has_claimed)
{
    append = [this](const http_exchange_ptr& exchange) {
        exchange->reply(200, {}, "{}");
        view.take(std::vector<log_entry>{foreign_claim(), {1, 2, exchange->body()}});
    };
    claim("self-1", 2);
    claim("self-2", 2);
    loop.run();
    EXPECT_EQ(answers, (std::vector<outcome>{outcome::unknown, outcome::unknown}));
}

// Guards against "not run" for a key whose foreign claim a peer has relayed while the log is silent.
TEST_F(claim_desk_test, a_claim_without_an_answer_yields_to_one_that_a_peer_has_relayed)
{
    std::vector<http_exchange_ptr> silent;
    append = [&](const http_exchange_ptr& exchange) {
        silent.push_back(exchange);
    };
    const timer relayed = loop.after(100, [this] {
        view.take(std::vector<log_entry>{foreign_claim()});
        claim("self-2", 2);
    });
    claim("self-1", 2);
    loop.run();
    claim("self-3", 3);
    loop.run();
    EXPECT_EQ(answers, (std::vector<outcome>(3, outcome::unknown)));
}

}  // namespace
}  // namespace waxwingnotch
