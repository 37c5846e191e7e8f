#include "transport/logging.h"

#include "transport/repeat_limiter.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

std::atomic<const clock_source*> log_clock = nullptr;

std::string json_string(std::string_view text) {
    // Replaces invalid UTF-8, which may come from the network, because JSON cannot carry it.
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

log4cplus::LogLevel to_log4cplus(log_level level) {
    switch (level) {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    case log_level::off:
        return log4cplus::OFF_LOG_LEVEL;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

std::string_view level_name(log4cplus::LogLevel level) {
    for (const log_level candidate : {log_level::trace, log_level::debug, log_level::info, log_level::warn}) {
        if (level <= to_log4cplus(candidate)) {
            return to_string(candidate);
        }
    }
    return to_string(log_level::error);
}

// One JSON object for each line. The event's message is the JSON text of the members "message" and "fields",
// because log4cplus has no place for typed fields.
class json_lines_layout : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output,
                         const log4cplus::spi::InternalLoggingEvent& event) override {
        using namespace std::chrono;
        const auto since_epoch = event.getTimestamp().time_since_epoch();
        const auto whole = duration_cast<seconds>(since_epoch);
        const auto fraction = duration_cast<microseconds>(since_epoch - whole);
        output << fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:06}Z","level":"{}","component":{},{}}})",
                              fmt::gmtime(static_cast<std::time_t>(whole.count())), fraction.count(),
                              level_name(event.getLogLevel()), json_string(event.getLoggerName()),
                              event.getMessage())
               << '\n';
    }
};

std::string value_text(const log_field::value_type& value) {
    return std::visit(
        [](const auto& item) -> std::string {
            using type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<type, std::string_view>) {
                return json_string(item);
            } else if constexpr (std::is_same_v<type, log_field::milliseconds_value>) {
                return json(item.count()).dump();
            } else {
                return json(item).dump();
            }
        },
        value);
}

std::string field_name(const log_field& field) {
    std::string name{field.name()};
    if (std::holds_alternative<log_field::milliseconds_value>(field.value())) {
        name += "_ms";
    }
    return json_string(name);
}

std::string members_text(std::string_view message, std::span<const log_field> fields,
                         std::uint64_t suppressed) {
    std::string text = "\"message\":" + json_string(message);
    if (!fields.empty()) {
        text += ",\"fields\":{";
        for (const log_field& field : fields) {
            if (&field != fields.data()) {
                text += ',';
            }
            text += field_name(field) + ':' + value_text(field.value());
        }
        text += '}';
    }
    if (suppressed != 0) {
        text += ",\"suppressed\":" + std::to_string(suppressed);
    }
    return text;
}

std::uint64_t repeat_key(std::string_view component, std::string_view message) {
    const std::hash<std::string_view> hash;
    // An odd factor keeps the two hashes apart if component and message are equal.
    return hash(component) * 31 + hash(message);
}

repeat_limiter& limiter() {
    static repeat_limiter instance;
    return instance;
}

void add_appender() {
    // Never destroyed: other threads may log while the process exits.
    static const auto* const initializer = new log4cplus::Initializer;
    static_cast<void>(initializer);
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender{new log4cplus::ConsoleAppender{to_standard_error, flush_each_line}};
    appender->setLayout(std::make_unique<json_lines_layout>());
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
}

} // namespace

namespace detail {

std::atomic<log_level> log_threshold = log_level::off;

void write_log_event(log_level level, std::string_view component, std::string_view message,
                     std::span<const log_field> fields) {
    std::uint64_t suppressed = 0;
    const clock_source* clock = log_clock.load(std::memory_order_acquire);
    if (level >= log_level::warn && clock != nullptr) {
        const auto admitted = limiter().admit(repeat_key(component, message), clock->now());
        if (!admitted) {
            return;
        }
        suppressed = *admitted;
    }
    const log4cplus::Logger logger = log4cplus::Logger::getInstance(std::string{component});
    logger.forcedLog(to_log4cplus(level), members_text(message, fields, suppressed));
}

} // namespace detail

void start_logging(log_level threshold, const clock_source& clock) {
    static const bool appender_added = (add_appender(), true);
    static_cast<void>(appender_added);
    log_clock.store(&clock, std::memory_order_release);
    set_log_threshold(threshold);
}

void set_log_threshold(log_level threshold) {
    detail::log_threshold.store(threshold, std::memory_order_relaxed);
}

} // namespace persimmonstile
