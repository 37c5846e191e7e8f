#pragma once

#include "state/clock_source.h"
#include "transport/log_field.h"
#include "transport/log_level.h"

#include <atomic>
#include <initializer_list>
#include <span>
#include <string_view>

namespace persimmonstile {

namespace detail {

// Lines below this level are dropped before their fields are formatted.
extern std::atomic<log_level> log_threshold;

void write_log_event(log_level level, std::string_view component, std::string_view message,
                     std::span<const log_field> fields);

} // namespace detail

// Writes log lines of at least this level to standard error from now on, each a JSON object with time, level,
// component, message and, if there are any, fields. The clock must outlive the process's last log line.
// Nothing is written before the first call. A further call changes level and clock.
void start_logging(log_level threshold, const clock_source& clock);

// Changes the least level of the lines that are written.
void set_log_threshold(log_level threshold);

inline bool is_log_enabled(log_level level) {
    return level >= detail::log_threshold.load(std::memory_order_relaxed);
}

// Writes one line. The message is a constant text; what varies belongs into the fields, because warnings and
// errors with the same component and message are limited (see repeat_limiter) and a later line carries the
// number of those left out in "suppressed". Thread-safe.
inline void log_event(log_level level, std::string_view component, std::string_view message,
                      std::initializer_list<log_field> fields = {}) {
    if (is_log_enabled(level)) {
        detail::write_log_event(level, component, message, {fields.begin(), fields.size()});
    }
}

// The same for fields whose number is only known when the program runs.
inline void log_event(log_level level, std::string_view component, std::string_view message,
                      std::span<const log_field> fields) {
    if (is_log_enabled(level)) {
        detail::write_log_event(level, component, message, fields);
    }
}

} // namespace persimmonstile
