#include "waxwingnotch/base/log.hpp"

#include "waxwingnotch/base/clock.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_file_backend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

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
    if (options.file.empty()) {
        add_stream_sink();
    }
    else {
        add_file_sink(options.file);
    }
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const log_settings& settings = current_settings();
    if (level < settings.level) {
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
