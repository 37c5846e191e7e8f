#include "transport/logging.h"

#include "transport/line_writer.h"
#include "transport/repeat_limiter.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

using nlohmann::json;

std::atomic<const clock_source*> log_clock = nullptr;

bool is_plain(char character) {
    return character >= ' ' && character <= '~' && character != '"' && character != '\\';
}

std::string json_string(std::string_view text) {
    if (std::all_of(text.begin(), text.end(), is_plain)) {
        return '"' + std::string{text} + '"';
    }
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
    explicit json_lines_layout(std::string_view process)
        : process_member_{process.empty() ? "" : fmt::format(R"("process":{},)", json_string(process))} {}

    void formatAndAppend(log4cplus::tostream& output,
                         const log4cplus::spi::InternalLoggingEvent& event) override {
        using namespace std::chrono;
        const auto since_epoch = event.getTimestamp().time_since_epoch();
        const auto whole = duration_cast<seconds>(since_epoch);
        const auto fraction = duration_cast<microseconds>(since_epoch - whole);
        output << fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:06}Z",{}"level":"{}","component":{},{}}})",
                              fmt::gmtime(static_cast<std::time_t>(whole.count())), fraction.count(),
                              process_member_, level_name(event.getLogLevel()),
                              json_string(event.getLoggerName()), event.getMessage())
               << '\n';
    }

private:
    std::string process_member_;
};

// Hands lines to a line_writer, and tells with the next line that it takes how many it did not take.
class line_appender : public log4cplus::Appender {
public:
    explicit line_appender(line_writer& writer)
        : writer_{writer} {}
    ~line_appender() override { destructorImpl(); }

    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        if (!writer_.add(formatEvent(event))) {
            return;
        }
        if (const std::uint64_t left_out = writer_.take_left_out(); left_out != 0) {
            const log4cplus::spi::InternalLoggingEvent gap{
                "log", log4cplus::WARN_LOG_LEVEL,
                fmt::format(R"("message":"log lines were left out","fields":{{"lines":{}}})", left_out),
                __FILE__, __LINE__};
            writer_.add(formatEvent(gap));
        }
    }

private:
    line_writer& writer_;
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

// Never destroyed: other threads may log while the process exits.
line_writer*& writer_in_use() {
    static line_writer* writer = nullptr;
    return writer;
}

void set_appender(const log_options& options) {
    static const auto* const initializer = new log4cplus::Initializer;
    static_cast<void>(initializer);
    // Lines that are on their way to the former stream are written within this time, or not at all.
    constexpr milliseconds change_limit{1000};
    flush_log(change_limit);
    writer_in_use() = new line_writer{options.descriptor};
    log4cplus::SharedAppenderPtr appender{new line_appender{*writer_in_use()}};
    appender->setLayout(std::make_unique<json_lines_layout>(options.process));
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
    if (clock != nullptr) {
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

void start_logging(const log_options& options, const clock_source& clock) {
    static log_options in_use{log_level::off, -1, {}};
    if (options.descriptor != in_use.descriptor || options.process != in_use.process) {
        set_appender(options);
        in_use = options;
    }
    log_clock.store(&clock, std::memory_order_release);
    set_log_threshold(options.threshold);
}

bool flush_log(milliseconds limit) {
    line_writer* const writer = writer_in_use();
    return writer == nullptr || writer->flush(limit);
}

void set_log_threshold(log_level threshold) {
    detail::log_threshold.store(threshold, std::memory_order_relaxed);
}

} // namespace persimmonstile
