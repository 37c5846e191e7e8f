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

// Makes a job durable if no entry knows its id.
struct commit_accept {
    std::shared_ptr<const open_job> record;
};

// Replaces the record of an open job by one with its progress.
struct commit_progress {
    // Session under which the record is kept.
    incarnation keeper;
    std::shared_ptr<const open_job> record;
    // Revision of the record that is replaced.
    std::uint64_t revision = 0;
};

// Records the final status of a job.
struct commit_end {
    incarnation keeper;
    job_status status;
};

// Removes the status of an ended job.
struct commit_forget {};

// One change to the stored records of a job.
struct commit {
    job_id job;
    std::variant<commit_accept, commit_progress, commit_end, commit_forget> change;
};

// The outcome of a commit.
//   durable    the change is in the store
//   conflict   a condition on the records failed; commit_result::present has the stored status
//   abandoned  the store did not apply the write and never will
enum class commit_outcome : std::uint8_t { durable, conflict, abandoned };

struct commit_result {
    commit what;
    commit_outcome outcome = commit_outcome::durable;
    // Revision of the job's record after a durable acceptance or progress.
    std::uint64_t revision = 0;
    // Stored status of the job after a conflicting acceptance.
    job_status present;
};

} // namespace persimmonstile
