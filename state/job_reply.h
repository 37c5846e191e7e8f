#pragma once

#include "state/job_outcome.h"

#include <variant>

namespace persimmonstile {

// The job is known and has not ended.
struct job_pending {
    static constexpr auto members() { return std::make_tuple(); }
};

// No job with this id is known within the deduplication window.
struct job_not_found {
    static constexpr auto members() { return std::make_tuple(); }
};

// The id was already used for a job with another body.
struct job_conflict {
    static constexpr auto members() { return std::make_tuple(); }
};

// The replying entry does not own the job's partition, or no longer does. The requesting entry looks up the
// owner again.
struct job_wrong_owner {
    static constexpr auto members() { return std::make_tuple(); }
};

// Reply of an owner about a job, to a caller or to a forwarding entry.
using job_reply = std::variant<job_outcome, job_pending, job_not_found, job_conflict, job_wrong_owner>;

} // namespace persimmonstile
