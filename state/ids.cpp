#include "state/ids.h"

#include <algorithm>

#include <xxhash.h>

namespace persimmonstile {

namespace {

bool is_job_id_character(char c) {
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || c == '.' || c == '_' || c == '-';
}

} // namespace

std::uint64_t hash_job_id(const job_id& job) {
    return XXH3_64bits(job.data(), job.size());
}

partition_id partition_of(const job_id& job) {
    return static_cast<partition_id>(hash_job_id(job) % partition_count);
}

bool is_valid_job_id(const std::string& text) {
    return !text.empty() && text.size() <= max_job_id_length &&
           std::all_of(text.begin(), text.end(), is_job_id_character);
}

} // namespace persimmonstile
