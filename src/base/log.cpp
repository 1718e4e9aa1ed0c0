#include "waxwingnotch/base/log.hpp"

#include "waxwingnotch/base/clock.hpp"
#include "waxwingnotch/base/crash_report.hpp"

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
#include <poll.h>
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

void add_standard_error_sink()
{
    using sink_type = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    auto sink = boost::make_shared<sink_type>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
}

/// Rate limit (token bucket) of the lines on standard output. It is checked before a line is formatted,
/// because formatting costs more than writing.
class line_rate_limiter {
public:
    void enable(int max_lines_per_s)
    {
        max_per_s_ = max_lines_per_s;
        tokens_ = max_lines_per_s;
        refilled_ms_ = monotonic_ms();
    }
    void disable() { max_per_s_ = 0; }

    /// Takes the token of one line, or counts the line as dropped.
    /// @return whether the line may be written
    bool try_take()
    {
        if (max_per_s_ == 0) {
            return true;
        }
        const std::int64_t now = monotonic_ms();
        constexpr double ms_per_s = 1'000.0;
        tokens_ = std::min<double>(max_per_s_,
                                   tokens_ + static_cast<double>(now - refilled_ms_) * max_per_s_ / ms_per_s);
        refilled_ms_ = now;
        if (tokens_ < 1) {
            count_dropped();
            return false;
        }
        tokens_ -= 1;
        return true;
    }
    void count_dropped() { ++dropped_; }
    /// @return lines dropped since the last call
    std::uint64_t take_dropped() { return std::exchange(dropped_, 0); }

private:
    double max_per_s_ = 0;  // 0: no limit
    double tokens_ = 0;
    std::int64_t refilled_ms_ = 0;
    std::uint64_t dropped_ = 0;
};

line_rate_limiter& output_limiter()
{
    static line_rate_limiter limiter;
    return limiter;
}

/// Writes lines to standard output without blocking. Lines that arrive while an earlier one is still partly
/// unwritten, because the reader is too slow, are dropped and counted.
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
            output_limiter().count_dropped();
            return;
        }
        if (const std::uint64_t dropped = output_limiter().take_dropped(); dropped > 0) {
            unwritten_ = R"({"event":"log_dropped","lines":)" + std::to_string(dropped) + "}\n";
        }
        unwritten_ += line;
        unwritten_ += '\n';
        flush();
    }

    /// @return whether all buffered bytes are written
    bool flush()
    {
        while (!unwritten_.empty()) {
            const ssize_t size = write(STDOUT_FILENO, unwritten_.data(), unwritten_.size());
            if (size < 0 && errno == EINTR) {
                continue;
            }
            if (size <= 0) {
                return false;
            }
            set_log_line_open(static_cast<std::size_t>(size) < unwritten_.size());
            unwritten_.erase(0, static_cast<std::size_t>(size));
        }
        return true;
    }

private:
    std::string unwritten_;  // bytes of accepted lines that are not written yet
};

boost::shared_ptr<nonblocking_output>& current_output()
{
    static boost::shared_ptr<nonblocking_output> output;
    return output;
}

void add_standard_output_sink(int max_lines_per_s)
{
    using sink_type = logging::sinks::synchronous_sink<nonblocking_output>;
    output_limiter().enable(max_lines_per_s);
    current_output() = boost::make_shared<nonblocking_output>();
    auto sink = boost::make_shared<sink_type>(current_output());
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
    current_output().reset();
    output_limiter().disable();
    if (options.standard_output) {
        add_standard_output_sink(options.max_lines_per_s);
    }
    else if (options.file.empty()) {
        add_standard_error_sink();
    }
    else {
        add_file_sink(options.file);
    }
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const log_settings& settings = current_settings();
    if (level < settings.level || !output_limiter().try_take()) {
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

void flush_log()
{
    // The platform gives a node at least 700 ms between the end of its drain and the kill.
    constexpr std::int64_t limit_ms = 300;
    const std::int64_t started_ms = monotonic_ms();
    while (current_output() != nullptr && !current_output()->flush()) {
        const std::int64_t left_ms = limit_ms - (monotonic_ms() - started_ms);
        pollfd ready{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        // POLLERR: the reader has gone.
        if (left_ms <= 0 || poll(&ready, 1, static_cast<int>(left_ms)) <= 0 ||
            (ready.revents & POLLOUT) == 0 || (ready.revents & POLLERR) != 0) {
            return;
        }
    }
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
