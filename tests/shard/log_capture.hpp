/// @file
/// Log lines that a test causes.
#pragma once

#include "waxwingnotch/base/log.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace waxwingnotch {

/// Sends the log to a file while it exists; afterwards it goes to standard error.
class log_capture {
public:
    log_capture() { init_log({.level = log_level::info, .file = file_}); }
    ~log_capture()
    {
        init_log({});
        std::error_code ignored;
        std::filesystem::remove(file_, ignored);
    }
    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;
    log_capture(log_capture&&) = delete;
    log_capture& operator=(log_capture&&) = delete;

    /// @return the lines of @p event so far
    std::vector<nlohmann::json> lines(const std::string& event) const
    {
        std::vector<nlohmann::json> found;
        std::ifstream input(file_);
        for (std::string text; std::getline(input, text);) {
            nlohmann::json line = nlohmann::json::parse(text);
            if (line["event"] == event) {
                found.push_back(std::move(line));
            }
        }
        return found;
    }

private:
    std::string file_ = testing::TempDir() + "waxwingnotch-" + std::to_string(getpid()) + ".log";
};

}  // namespace waxwingnotch
