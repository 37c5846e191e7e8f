#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

enum class finding_kind : std::uint8_t {
    unreadable,
    invalid_json,
    wrong_type,
    missing_key,
    unknown_key,
    out_of_range,
    missing_reason,
    unknown_name,
    duplicate,
    contradiction,
    expired,
    unreachable_limit,
    too_large
};

constexpr std::string_view to_string(finding_kind kind) {
    switch (kind) {
    case finding_kind::unreadable:
        return "unreadable";
    case finding_kind::invalid_json:
        return "invalid_json";
    case finding_kind::wrong_type:
        return "wrong_type";
    case finding_kind::missing_key:
        return "missing_key";
    case finding_kind::unknown_key:
        return "unknown_key";
    case finding_kind::out_of_range:
        return "out_of_range";
    case finding_kind::missing_reason:
        return "missing_reason";
    case finding_kind::unknown_name:
        return "unknown_name";
    case finding_kind::duplicate:
        return "duplicate";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::expired:
        return "expired";
    case finding_kind::unreachable_limit:
        return "unreachable_limit";
    case finding_kind::too_large:
        return "too_large";
    }
    return "unreadable";
}

// One fault of the fleet configuration: the file and the JSON pointer of the place, what the checker expected
// there and what it found.
struct config_finding {
    finding_kind kind = finding_kind::unreadable;
    std::string file;
    std::string pointer;
    std::string expected;
    std::string found;
};

using config_findings = std::vector<config_finding>;

// One line for operators, such as
// "exceptions.json#/3/reason: missing_reason: expected a reason that is not blank, found nothing".
std::string describe(const config_finding& finding);

} // namespace persimmonstile
