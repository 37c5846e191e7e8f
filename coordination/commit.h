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

// Replaces the record of an open job by one with progress.
struct commit_progress {
    // Session under which the record is kept.
    incarnation keeper;
    std::shared_ptr<const open_job> record;
    // Revision of the record that is replaced.
    std::uint64_t revision = 0;
};

// Ends a job for good.
struct commit_end {
    incarnation keeper;
    job_status status;
};

// Forgets an ended job.
struct commit_forget {};

// One change to a job's records.
struct commit {
    job_id job;
    std::variant<commit_accept, commit_progress, commit_end, commit_forget> change;
};

// What became of a commit.
//   durable    the change is in the store
//   conflict   the records are not as expected; status tells the present one of an accepted job
//   abandoned  the store certainly did nothing, and nothing will follow
enum class commit_outcome : std::uint8_t { durable, conflict, abandoned };

struct commit_result {
    commit what;
    commit_outcome outcome = commit_outcome::durable;
    // Revision of the job's record after a durable acceptance or progress.
    std::uint64_t revision = 0;
    // Of a conflicting acceptance.
    job_status present;
};

} // namespace persimmonstile
