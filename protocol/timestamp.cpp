#include "protocol/timestamp.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

namespace persimmonstile {

namespace {

using std::chrono::floor;
using calendar_days = std::chrono::sys_days;

constexpr std::size_t seconds_length = 19; // "2026-12-04T03:08:31"

std::optional<int> digits(std::string_view text) {
    int value = 0;
    for (const char c : text) {
        if (c < '0' || c > '9')
            return std::nullopt;
        value = value * 10 + (c - '0');
    }
    return value;
}

// Milliseconds of ".5", ".25" or ".125"; the fraction includes its dot and may be empty.
std::optional<int> fraction_ms(std::string_view fraction) {
    if (fraction.empty())
        return 0;
    if (fraction.front() != '.' || fraction.size() < 2 || fraction.size() > 4)
        return std::nullopt;
    std::string padded{fraction.substr(1)};
    padded.resize(3, '0');
    return digits(padded);
}

bool has_separators(std::string_view text) {
    return text[4] == '-' && text[7] == '-' && text[10] == 'T' && text[13] == ':' && text[16] == ':';
}

} // namespace

std::string format_timestamp(wall_time time) {
    const auto day = floor<std::chrono::days>(time);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss clock{floor<std::chrono::milliseconds>(time - day)};
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()),
                  static_cast<int>(clock.subseconds().count()));
    return text.data();
}

std::optional<wall_time> parse_timestamp(const std::string& text) {
    if (text.size() < seconds_length + 1 || text.back() != 'Z' || !has_separators(text))
        return std::nullopt;
    const std::string_view view{text};
    const auto year = digits(view.substr(0, 4));
    const auto month = digits(view.substr(5, 2));
    const auto day = digits(view.substr(8, 2));
    const auto hour = digits(view.substr(11, 2));
    const auto minute = digits(view.substr(14, 2));
    const auto second = digits(view.substr(17, 2));
    const auto ms = fraction_ms(view.substr(seconds_length, view.size() - seconds_length - 1));
    if (!year || !month || !day || !hour || !minute || !second || !ms)
        return std::nullopt;
    const std::chrono::year_month_day date{std::chrono::year{*year},
                                           std::chrono::month{static_cast<unsigned>(*month)},
                                           std::chrono::day{static_cast<unsigned>(*day)}};
    if (!date.ok() || *hour > 23 || *minute > 59 || *second > 59)
        return std::nullopt;
    return calendar_days{date} + std::chrono::hours{*hour} + std::chrono::minutes{*minute} +
           std::chrono::seconds{*second} + std::chrono::milliseconds{*ms};
}

} // namespace persimmonstile
