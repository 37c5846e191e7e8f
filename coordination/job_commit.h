#pragma once

#include "state/ids.h"
#include "state/incarnation.h"
#include "state/job_status.h"
#include "state/open_job.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace persimmonstile {

// Accepts a job: stores its status and its record. Conflicts if a status with its id is stored already.
struct acceptance_commit {
    std::shared_ptr<const open_job> record;
};

// Keeps a job from being accepted: stores a withdrawn status. Conflicts if a status with its id is stored
// already.
struct withdrawal_commit {
    job_status status;
};

// Replaces the record of an open job by a record that contains the progress of its tasks.
struct progress_commit {
    // Session under which the record is stored.
    incarnation record_session;
    std::shared_ptr<const open_job> record;
    // Expected revision of the stored record.
    std::uint64_t revision = 0;
};

// Stores the final status of a job and removes its record.
struct end_commit {
    incarnation record_session;
    job_status status;
};

// Removes the stored status of an ended job.
struct removal_commit {};

// One change to the stored records of a job.
struct job_commit {
    job_id job;
    std::variant<acceptance_commit, progress_commit, end_commit, removal_commit, withdrawal_commit> change;
};

// The outcome of a commit.
//   durable    the change is in the store
//   conflict   a condition failed, so the change is not in the store
//   abandoned  the store did not apply the write and never will
enum class commit_outcome : std::uint8_t { durable, conflict, abandoned };

struct commit_result {
    job_commit request;
    commit_outcome outcome = commit_outcome::durable;
    // Revision of the stored record after an acceptance or an update of the progress became durable.
    std::uint64_t revision = 0;
    // Stored status of the job after a conflicting acceptance or withdrawal.
    job_status stored;
};

} // namespace persimmonstile
