#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// Whether a backend server is to get work, judged by what became of its runs. Its own reports are not enough:
// one that fails or stalls everything may call itself ready.
class backend_health {
public:
    void succeeded();
    // A run failed, stalled, or was refused as unhealthy. Failures of one job count once, because its tasks
    // may all be faulty. True if the backend server is avoided from now on.
    bool failed(const job_id& job, time_point now);

    bool is_avoided(time_point now) const { return now < avoided_until_; }
    time_point avoided_until() const { return avoided_until_; }
    // The pause is over, and no run has succeeded since.
    bool is_on_probation(time_point now) const { return pause_.count() > 0 && !is_avoided(now); }

private:
    std::uint32_t failures_in_a_row_ = 0;
    job_id last_failed_;
    milliseconds pause_{0};
    time_point avoided_until_{};
};

} // namespace persimmonstile
