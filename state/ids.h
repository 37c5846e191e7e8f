#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// The caller's idempotency key, 1 to max_job_id_length characters of [A-Za-z0-9._-].
using job_id = std::string;

// Position of a task within its job, from 0.
using task_index = std::uint32_t;

// Slice of the job id space with one owner.
using partition_id = std::uint16_t;

// Fencing epoch of a partition. It grows by one whenever the partition changes its owner.
using epoch_number = std::uint64_t;

// Version of the owner table and revision of the fleet configuration, as the store orders them. 0 means none
// yet.
using table_version = std::uint64_t;
using config_revision = std::uint64_t;

// Identifies one waiting caller within one entry process.
using caller_token = std::uint64_t;

constexpr partition_id partition_count = 64;
constexpr std::size_t max_job_id_length = 128;

// Maps a job id to its partition. Every process must compute the same value, so the hash is fixed to XXH3.
partition_id partition_of(const job_id& job);

// Hash that stands for a job id where a list of ids would be too long.
std::uint64_t hash_of(const job_id& job);

// True if the text has the allowed length and characters.
bool is_valid_job_id(const std::string& text);

} // namespace persimmonstile
