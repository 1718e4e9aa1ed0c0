#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/net/http_server.hpp"
#include "waxwingnotch/platform/log_appender.hpp"

#include <gtest/gtest.h>

namespace waxwingnotch {

// Guards against more appends than the log can handle. Without a minimum interval, a node appends as fast
// as the log answers, and eight nodes together exceed several hundred appends per second.
TEST(log_appender, proposals_are_batched_into_few_appends)
{
    event_loop loop;
    http_client client(loop);
    http_server log(loop);
    std::vector<batch> appended;
    log.handle([&](const http_exchange_ptr& exchange) {
        appended.push_back(decode(exchange->body()).value());
        exchange->reply(200, {}, "{}");
    });
    const auto port = log.listen("127.0.0.1", 0);
    log_appender appender(loop, client, {"127.0.0.1:" + std::to_string(port.value()), "entry-1", 1, [] {
                                             return 0;
                                         }});
    constexpr int proposals = 200;
    int settled = 0;
    int proposed = 0;
    std::size_t settled_batches = 0;
    const std::int64_t start = monotonic_ms();
    // Every millisecond: proposes one record, and passes on the verdicts on the batches that have arrived.
    const timer step = loop.every(1, [&] {
        if (proposed < proposals) {
            ++proposed;
            appender.propose(claim_record{std::to_string(proposed), "r"},
                             [&](const proposal_outcome&) { ++settled; });
        }
        for (; settled_batches < appended.size(); ++settled_batches) {
            const batch value = appended[settled_batches];
            for (std::size_t index = 0; index < value.records.size(); ++index) {
                appender.apply_verdict(
                    {true, value.writer, value.incarnation, value.seq, index, "claim", "", ""});
            }
        }
        if (settled == proposals) {
            loop.stop();
        }
    });
    loop.run();
    const std::int64_t max_appends = (monotonic_ms() - start) / log_appender::append_interval_ms + 2;
    EXPECT_LE(static_cast<std::int64_t>(appended.size()), max_appends);
    EXPECT_FALSE(appender.busy());
}

}  // namespace waxwingnotch
