#pragma once

#include "state/clock_source.h"
#include "state/time.h"
#include "transport/log_field.h"
#include "transport/log_level.h"

#include <atomic>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace persimmonstile {

namespace detail {

// Lines below this level are dropped before their fields are formatted.
extern std::atomic<log_level> log_threshold;

void write_log_event(log_level level, std::string_view component, std::string_view message,
                     std::span<const log_field> fields);

} // namespace detail

// Where log lines go and which are written.
struct log_options {
    log_level threshold = log_level::info;
    // Descriptor of the stream that the lines are written to.
    int descriptor = standard_output;
    // Name of the process, in each line unless it is empty.
    std::string process;

    static constexpr int standard_output = 1;
    static constexpr int standard_error = 2;
};

// Writes log lines from now on, each a JSON object with time, process, level, component, message and, if
// there are any, fields. Writing happens on a thread of its own and never delays the caller; lines that the
// reader is too slow for are left out, and a later line counts them. The clock must outlive the process's
// last log line. Nothing is written before the first call; a further call changes the options.
void start_logging(const log_options& options, const clock_source& clock);

// Waits until the lines so far are written, at most for the limit; false if some are not. To be called before
// the process ends.
bool flush_log(milliseconds limit);

// Changes the least level of the lines that are written.
void set_log_threshold(log_level threshold);

inline bool is_log_enabled(log_level level) {
    return level >= detail::log_threshold.load(std::memory_order_relaxed);
}

// Writes one line. The message is a constant text; what varies belongs into the fields, because lines with
// the same component and message are limited (see repeat_limiter) and a later one carries the number of those
// left out in "suppressed". Thread-safe.
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
