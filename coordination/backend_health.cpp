#include "coordination/backend_health.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Failed jobs in a row after which a backend server is avoided. A healthy one fails 2 of 1,000 runs, so two
// in a row are hardly chance.
constexpr std::uint32_t most_failures = 2;

// A pause is short at first, because most troubles last for seconds, and doubles while they go on.
constexpr milliseconds first_pause{1000};
constexpr milliseconds longest_pause{8000};

} // namespace

void backend_health::succeeded() {
    failures_in_a_row_ = 0;
    pause_ = milliseconds{0};
}

bool backend_health::failed(const job_id& job, time_point now) {
    if (job != last_failed_)
        ++failures_in_a_row_;
    last_failed_ = job;
    if (failures_in_a_row_ < most_failures || is_avoided(now))
        return false;
    pause_ = std::clamp(pause_ * 2, first_pause, longest_pause);
    avoided_until_ = now + pause_;
    // After the pause one failure is enough.
    failures_in_a_row_ = most_failures - 1;
    return true;
}

} // namespace persimmonstile
