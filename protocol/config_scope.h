#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

enum class scope_kind : std::uint8_t { service, team, zone };

constexpr std::string_view to_string(scope_kind kind) {
    switch (kind) {
    case scope_kind::service:
        return "service";
    case scope_kind::team:
        return "team";
    case scope_kind::zone:
        return "zone";
    }
    return "service";
}

constexpr std::optional<scope_kind> scope_kind_of(std::string_view text) {
    for (const scope_kind kind : {scope_kind::service, scope_kind::team, scope_kind::zone}) {
        if (to_string(kind) == text)
            return kind;
    }
    return std::nullopt;
}

// What a setting belongs to.
struct config_scope {
    scope_kind kind = scope_kind::service;
    std::string name;

    auto operator<=>(const config_scope&) const = default;
};

} // namespace persimmonstile
