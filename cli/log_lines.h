#pragma once

#include "protocol/finding.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace persimmonstile {

// A line of a daemon's log.
struct log_line {
    // As the process wrote it: RFC 3339 in UTC, so that texts sort like times.
    std::string time;
    std::string process;
    std::string level;
    std::string message;
    // The fields without the job, as "name=value", in the order of their names.
    std::string fields;
    std::string job;
    // The line says that lines of its kind were left out before it.
    bool follows_gap = false;
};

// The log line in a line of text. What stands before the first brace is skipped, because collectors put the
// name of a source there. Nothing if the text has no brace; findings if it is not a line of a log.
std::variant<std::optional<log_line>, findings> decode_log_line(const std::string& file, std::size_t number,
                                                                const std::string& text);

} // namespace persimmonstile
