#pragma once

#include "state/time.h"

#include <cstddef>
#include <optional>

namespace persimmonstile {

// Decides when waiting jobs of a service that can only end late are refused. After a stall of the backend
// servers, capacity returns and late jobs can still be served. Under overload, all capacity goes to jobs that
// can still end in time, and waiting only delays the refusal. The two cases are told apart by the number of
// other jobs' runs that start meanwhile.
class late_job_policy {
public:
    // A plan has placed a late job, so the late jobs are served.
    void record_placement() { passed_over_since_.reset(); }
    // Late jobs are waiting and a plan placed none of them, but started other_starts runs of other jobs.
    void record_passed_over(std::size_t other_starts, time_point now);
    // Whether late jobs that cannot be placed now should be refused.
    bool should_refuse(time_point now) const;

private:
    std::optional<time_point> passed_over_since_;
    time_point last_passed_over_{};
    std::size_t other_starts_ = 0;
};

} // namespace persimmonstile
