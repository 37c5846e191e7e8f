#include "state/uuid_time.h"

#include <array>
#include <charconv>
#include <chrono>

namespace persimmonstile {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr std::array<std::size_t, 4> hyphen_positions{8, 13, 18, 23};

bool has_hyphens(const job_id& job) {
    for (const std::size_t position : hyphen_positions) {
        if (job[position] != '-')
            return false;
    }
    return true;
}

bool has_hex_digits(const job_id& job) {
    for (std::size_t i = 0; i < job.size(); ++i) {
        const bool is_hyphen = i == hyphen_positions[0] || i == hyphen_positions[1] ||
                               i == hyphen_positions[2] || i == hyphen_positions[3];
        const char c = job[i];
        const bool is_hex = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
        if (!is_hyphen && !is_hex)
            return false;
    }
    return true;
}

bool is_rfc_variant(char c) {
    return c == '8' || c == '9' || c == 'a' || c == 'b' || c == 'A' || c == 'B';
}

} // namespace

std::optional<wall_time> uuid_time(const job_id& job) {
    if (job.size() != uuid_length || !has_hyphens(job) || !has_hex_digits(job))
        return std::nullopt;
    if (job[version_position] != '7' || !is_rfc_variant(job[variant_position]))
        return std::nullopt;
    // The first 48 bits hold the time in milliseconds since 1970.
    const std::string timestamp_digits = job.substr(0, 8) + job.substr(9, 4);
    std::int64_t unix_ms = 0;
    std::from_chars(timestamp_digits.data(), timestamp_digits.data() + timestamp_digits.size(), unix_ms, 16);
    return wall_time{std::chrono::milliseconds{unix_ms}};
}

} // namespace persimmonstile
