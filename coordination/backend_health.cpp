#include "coordination/backend_health.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Number of consecutive failed jobs after which a backend server is avoided. On a healthy one 2 of 1,000 runs
// fail, so two in a row are unlikely to be chance.
constexpr std::uint32_t failure_threshold = 2;

// A backend server is avoided for this time. The first pause is short because most faults last only for
// seconds. The pause doubles while the fault persists.
constexpr milliseconds initial_pause{1000};
constexpr milliseconds max_pause{8000};

} // namespace

void backend_health::succeeded() {
    consecutive_failures_ = 0;
    pause_ = milliseconds{0};
}

bool backend_health::failed(const job_id& job, time_point now) {
    if (job != last_failed_job_)
        ++consecutive_failures_;
    last_failed_job_ = job;
    if (consecutive_failures_ < failure_threshold || is_avoided(now))
        return false;
    pause_ = std::clamp(pause_ * 2, initial_pause, max_pause);
    avoided_until_ = now + pause_;
    // A single failure after the pause starts the next pause.
    consecutive_failures_ = failure_threshold - 1;
    return true;
}

} // namespace persimmonstile
