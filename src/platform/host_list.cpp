#include "waxwingnotch/platform/host_list.hpp"

#include "waxwingnotch/base/log.hpp"

#include <nlohmann/json.hpp>

namespace waxwingnotch {

result<std::vector<listed_host>> decode_host_list(std::string_view body)
{
    using nlohmann::json;
    try {
        std::vector<listed_host> hosts;
        const json root = json::parse(body);
        for (const json& item : root.at("hosts")) {
            hosts.push_back({item.at("host").get<std::string>(), item.at("address").get<std::string>(),
                             item.at("state").get<std::string>() == "leaving"});
        }
        return hosts;
    }
    catch (const json::exception& problem) {
        return fail(error_code::malformed, problem.what());
    }
}

host_list::host_list(event_loop& loop, http_client& client, std::string address,
                     std::function<void(const std::vector<listed_host>&)> on_change)
    : loop_(loop), client_(client), address_(std::move(address)), on_change_(std::move(on_change))
{
}

void host_list::start()
{
    poll();
}

void host_list::poll()
{
    http_call call;
    call.address = address_;
    call.path = "/hosts";
    call.reuse_connection = true;
    if (!etag_.empty()) {
        call.headers = {{"If-None-Match", etag_}};
    }
    client_.send(call, [this](const http_answer& answer) {
        if (answer.outcome == call_outcome::answered && answer.status == 200) {
            const auto hosts = decode_host_list(answer.body);
            if (hosts) {
                etag_ = answer.header("ETag").value_or("");
                on_change_(hosts.value());
            }
            else {
                log_event(log_level::error, "host-list-malformed", {{"reason", hosts.error().message}});
            }
        }
        poll_timer_ = loop_.after(interval_ms, [this] { poll(); });
    });
}

}  // namespace waxwingnotch
