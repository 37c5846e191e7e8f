#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// Idempotency key of a job, unique for all callers: 1 to max_job_id_length characters of [A-Za-z0-9._-].
using job_id = std::string;

// Index of a task within its job, or within its step if the job has steps; from 0.
using task_index = std::uint32_t;

// Number of a partition: the hash of the job id modulo partition_count. Each partition has one owner.
using partition_id = std::uint16_t;

// Fencing epoch of a partition. It increases by one whenever the partition changes its owner.
using epoch_number = std::uint64_t;

// Version of the owner table. It increases with each change of the table in the store. 0 means that no table
// is known yet.
using table_version = std::uint64_t;

// Revision of the fleet configuration. It increases with each change of the configuration in the store. 0
// means that no configuration is known yet.
using config_revision = std::uint64_t;

// Identifies one waiting caller within one entry process.
using caller_token = std::uint64_t;

constexpr partition_id partition_count = 64;
constexpr std::size_t max_job_id_length = 128;

// Maps a job id to its partition. Every process must compute the same value, so the hash function is always
// XXH3.
partition_id partition_of(const job_id& job);

// XXH3 hash of a job id. Messages contain it where a list of full ids would be too long.
std::uint64_t hash_job_id(const job_id& job);

// Whether the text has the length and the characters of a job_id.
bool is_valid_job_id(const std::string& text);

} // namespace persimmonstile
