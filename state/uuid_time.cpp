#include "state/uuid_time.h"

#include <array>
#include <charconv>
#include <chrono>

namespace persimmonstile {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr std::array<std::size_t, 4> hyphens{8, 13, 18, 23};

bool has_hyphens(const job_id& job) {
    for (const std::size_t position : hyphens) {
        if (job[position] != '-')
            return false;
    }
    return true;
}

bool is_hex_elsewhere(const job_id& job) {
    for (std::size_t i = 0; i < job.size(); ++i) {
        const bool hyphen = i == hyphens[0] || i == hyphens[1] || i == hyphens[2] || i == hyphens[3];
        const char c = job[i];
        const bool hex = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
        if (!hyphen && !hex)
            return false;
    }
    return true;
}

bool has_rfc_variant(char c) {
    return c == '8' || c == '9' || c == 'a' || c == 'b' || c == 'A' || c == 'B';
}

} // namespace

std::optional<wall_time> uuid_time(const job_id& job) {
    if (job.size() != uuid_length || !has_hyphens(job) || !is_hex_elsewhere(job))
        return std::nullopt;
    if (job[version_position] != '7' || !has_rfc_variant(job[variant_position]))
        return std::nullopt;
    const std::string digits = job.substr(0, 8) + job.substr(9, 4);
    std::int64_t unix_ms = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), unix_ms, 16);
    return wall_time{std::chrono::milliseconds{unix_ms}};
}

} // namespace persimmonstile
