#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// Decides from the outcomes of a backend server's runs whether it gets work. Its own reports are not enough,
// because a backend server on which every run fails or stalls may still report that it is ready.
class backend_health {
public:
    void succeeded();
    // Records that a run failed, stalled, or was refused as unhealthy. Consecutive failures of one job count
    // once, because all its tasks may be faulty. Returns true if the backend server is avoided from now on.
    bool failed(const job_id& job, time_point now);

    bool is_avoided(time_point now) const { return now < avoided_until_; }
    time_point avoided_until() const { return avoided_until_; }
    // True after a pause has ended until a run succeeds.
    bool is_on_probation(time_point now) const { return pause_.count() > 0 && !is_avoided(now); }

private:
    std::uint32_t consecutive_failures_ = 0;
    job_id last_failed_job_;
    // Duration of the latest pause, during which the backend server is avoided. 0 after a success.
    milliseconds pause_{0};
    time_point avoided_until_{};
};

} // namespace persimmonstile
