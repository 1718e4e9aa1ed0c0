#include "waxwingnotch/entry/claim_desk.hpp"
#include "waxwingnotch/net/http_server.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace waxwingnotch {
namespace {

constexpr std::int64_t test_timeout_ms = 60'000;

/// The claims of node "self", with a log whose answers the test provides.
class claim_coordinator_test : public testing::Test {
protected:
    claim_coordinator_test()
    {
        log.handle([this](const http_exchange_ptr& exchange) { handle_append(exchange); });
        view.on_verdict([this](const verdict& item) { appender.apply_verdict(item); });
    }

    static log_entry claim_of_other_node()
    {
        return {0, 1, encode(batch{"other", 1, 1, 0, {claim_record{"key", "other-1"}}})};
    }

    /// Claims "key" and stops the loop after @p last answers.
    void claim(const std::string& request, std::size_t last)
    {
        claims.claim("key", request, [this, last](const claim_result& result) {
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
    std::function<void(const http_exchange_ptr&)> handle_append;
    log_appender appender{
        loop, client, {"127.0.0.1:" + std::to_string(log.listen("127.0.0.1", 0).value()), "self", 1, [this] {
                           return view.state().next_offset;
                       }}};
    peer_mesh mesh{loop, {"self", {}}, {}};
    claim_coordinator claims{loop, "self", view, appender, mesh};
    std::vector<outcome> answers;
    timer test_timeout = loop.after(test_timeout_ms, [this] { loop.stop(); });
};

// Guards against lost repeats at a node whose own claim of the key is rejected: they were dropped and
// answered "not run" at their time limit, although the key had run at another node.
TEST_F(claim_coordinator_test, repeats_get_the_outcome_of_a_key_claimed_by_another_node)
{
    handle_append = [this](const http_exchange_ptr& exchange) {
        exchange->reply(200, {}, "{}");
        view.apply_entries(std::vector<log_entry>{claim_of_other_node(), {1, 2, exchange->body()}});
    };
    claim("self-1", 2);
    claim("self-2", 2);
    loop.run();
    EXPECT_EQ(answers, (std::vector<outcome>{outcome::unknown, outcome::unknown}));
}

// Guards against "not run" for a key when the log does not answer but a peer has relayed another node's
// claim of it.
TEST_F(claim_coordinator_test, an_unanswered_claim_yields_to_a_claim_relayed_by_a_peer)
{
    std::vector<http_exchange_ptr> unanswered;
    handle_append = [&](const http_exchange_ptr& exchange) {
        unanswered.push_back(exchange);
    };
    const timer relayed = loop.after(100, [this] {
        view.apply_entries(std::vector<log_entry>{claim_of_other_node()});
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
