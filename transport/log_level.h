#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace persimmonstile {

// Severity of a log line. off is only a threshold.
enum class log_level : std::uint8_t { trace, debug, info, warn, error, off };

constexpr std::string_view to_string(log_level level) {
    switch (level) {
    case log_level::trace:
        return "trace";
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warn:
        return "warn";
    case log_level::error:
        return "error";
    case log_level::off:
        return "off";
    }
    return "off";
}

// Nothing if the text names no level.
constexpr std::optional<log_level> parse_log_level(std::string_view text) {
    for (const log_level level : {log_level::trace, log_level::debug, log_level::info, log_level::warn,
                                  log_level::error, log_level::off}) {
        if (to_string(level) == text) {
            return level;
        }
    }
    return std::nullopt;
}

} // namespace persimmonstile
