#pragma once

#include "protocol/config_exception.h"
#include "protocol/setting_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// Where an effective value comes from.
enum class setting_source : std::uint8_t { builtin_default, fleet_default, exception };

constexpr std::string_view to_string(setting_source source) {
    switch (source) {
    case setting_source::builtin_default:
        return "builtin_default";
    case setting_source::fleet_default:
        return "default";
    case setting_source::exception:
        return "exception";
    }
    return "builtin_default";
}

// The value of one setting after defaults and exceptions. exception is set if it decided.
struct effective_setting {
    std::string name;
    setting_value value;
    setting_source source = setting_source::builtin_default;
    std::optional<config_exception> exception;
};

} // namespace persimmonstile
