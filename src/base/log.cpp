#include "waxwingnotch/base/log.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_file_backend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <iostream>
#include <utility>

namespace waxwingnotch {

namespace {

namespace logging = boost::log;

struct log_settings {
    log_level level = log_level::info;
    std::string node;
};

log_settings& current_settings()
{
    static log_settings settings;
    return settings;
}

const char* level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unnamed";
}

void add_stream_sink()
{
    using sink_type = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<sink_type>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

/// Bounds the lines per second on standard output. Asked before a line is formatted, because formatting costs
/// more than writing.
class line_budget {
public:
    void start(int most_lines_per_s)
    {
        most_per_s_ = most_lines_per_s;
        room_ = most_lines_per_s;
        refilled_ms_ = monotonic_ms();
    }
    void end() { most_per_s_ = 0; }

    /// @return whether one more line may be written; counts it, or counts it as dropped
    bool take()
    {
        if (most_per_s_ == 0) {
            return true;
        }
        const std::int64_t now = monotonic_ms();
        constexpr double ms_per_s = 1'000.0;
        room_ = std::min<double>(most_per_s_,
                                 room_ + static_cast<double>(now - refilled_ms_) * most_per_s_ / ms_per_s);
        refilled_ms_ = now;
        if (room_ < 1) {
            drop();
            return false;
        }
        room_ -= 1;
        return true;
    }
    void drop() { ++dropped_; }
    /// @return lines dropped since the last call
    std::uint64_t take_dropped() { return std::exchange(dropped_, 0); }

private:
    double most_per_s_ = 0;  // 0: no bound
    double room_ = 0;
    std::int64_t refilled_ms_ = 0;
    std::uint64_t dropped_ = 0;
};

line_budget& output_budget()
{
    static line_budget budget;
    return budget;
}

/// Writes lines to standard output without waiting for its reader. Lines for which the reader leaves no room
/// are dropped and counted.
class nonblocking_output
    : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding> {
public:
    nonblocking_output()
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    void consume(const logging::record_view& /*record*/, const string_type& line)
    {
        if (!flush()) {
            output_budget().drop();
            return;
        }
        if (const std::uint64_t dropped = output_budget().take_dropped(); dropped > 0) {
            rest_ = R"({"event":"log_dropped","lines":)" + std::to_string(dropped) + "}\n";
        }
        rest_ += line;
        rest_ += '\n';
        flush();
    }

private:
    /// @return whether everything so far is written
    bool flush()
    {
        while (!rest_.empty()) {
            const ssize_t size = write(STDOUT_FILENO, rest_.data(), rest_.size());
            if (size < 0 && errno == EINTR) {
                continue;
            }
            if (size <= 0) {
                return false;
            }
            rest_.erase(0, static_cast<std::size_t>(size));
        }
        return true;
    }

    std::string rest_;  // of a line that was written in part
};

void add_output_sink(int most_lines_per_s)
{
    using sink_type = logging::sinks::synchronous_sink<nonblocking_output>;
    output_budget().start(most_lines_per_s);
    auto sink = boost::make_shared<sink_type>(boost::make_shared<nonblocking_output>());
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

void add_file_sink(const std::string& file)
{
    using sink_type = logging::sinks::synchronous_sink<logging::sinks::text_file_backend>;
    auto backend = boost::make_shared<logging::sinks::text_file_backend>(
        logging::keywords::file_name = file, logging::keywords::open_mode = std::ios_base::app);
    backend->auto_flush(true);
    auto sink = boost::make_shared<sink_type>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

}  // namespace

void init_log(const log_options& options)
{
    current_settings() = {options.level, options.node};
    logging::core::get()->remove_all_sinks();
    output_budget().end();
    if (options.standard_output) {
        add_output_sink(options.most_lines_per_s);
    }
    else if (options.file.empty()) {
        add_stream_sink();
    }
    else {
        add_file_sink(options.file);
    }
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const log_settings& settings = current_settings();
    if (level < settings.level || !output_budget().take()) {
        return;
    }
    nlohmann::ordered_json line;
    line["ts"] = wall_ms();
    line["level"] = level_name(level);
    if (!settings.node.empty()) {
        line["node"] = settings.node;
    }
    line["event"] = event;
    for (const log_field& field : fields) {
        std::visit([&](const auto& value) { line[std::string(field.key)] = value; }, field.value);
    }
    static logging::sources::logger logger;
    BOOST_LOG(logger) << line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool parse_log_level(std::string_view text, log_level& level)
{
    for (const log_level candidate :
         {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (text == level_name(candidate)) {
            level = candidate;
            return true;
        }
    }
    return false;
}

}  // namespace waxwingnotch
