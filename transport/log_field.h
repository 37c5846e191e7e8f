#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace persimmonstile {

// A named, typed value of a log line. Names and texts are not copied, so a field lives no longer than the
// call that logs it. A duration is written in milliseconds under its name with "_ms" appended.
class log_field {
public:
    using milliseconds_value = std::chrono::duration<double, std::milli>;
    using value_type =
        std::variant<std::string_view, bool, std::int64_t, std::uint64_t, double, milliseconds_value>;

    log_field(std::string_view name, std::string_view value)
        : name_{name}
        , value_{value} {}

    log_field(std::string_view name, const char* value)
        : name_{name}
        , value_{std::string_view{value}} {}

    log_field(std::string_view name, const std::string& value)
        : name_{name}
        , value_{std::string_view{value}} {}

    log_field(std::string_view name, std::same_as<bool> auto value)
        : name_{name}
        , value_{value} {}

    template <std::signed_integral Number>
    log_field(std::string_view name, Number value)
        : name_{name}
        , value_{std::int64_t{value}} {}

    template <std::unsigned_integral Number>
    requires(!std::same_as<Number, bool>) log_field(std::string_view name, Number value)
        : name_{name}
        , value_{std::uint64_t{value}} {}

    log_field(std::string_view name, double value)
        : name_{name}
        , value_{value} {}

    template <typename Rep, typename Period>
    log_field(std::string_view name, std::chrono::duration<Rep, Period> value)
        : name_{name}
        , value_{milliseconds_value{value}} {}

    std::string_view name() const { return name_; }
    const value_type& value() const { return value_; }

private:
    std::string_view name_;
    value_type value_;
};

} // namespace persimmonstile
