#include "coordination/ejection_state.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace persimmonstile {

namespace {

// Maximum probability that the consecutive failures that lead to an ejection occurred by chance.
constexpr double max_false_ejection_probability = 1e-3;

// Bounds of the number of consecutive failures that lead to an ejection.
constexpr std::uint32_t min_failures = 3;
constexpr std::uint32_t max_failures = 20;

// Number of consecutive failures after which the window is reset to one task.
constexpr std::uint32_t failures_before_window_reset = 2;

// Weight of one task in the failure ratio, a moving average over about the last 16 tasks.
constexpr float failure_weight = 1.0F / 16;

// A probe is a caller's task and is lost if the backend server is still defective, so the backoff grows
// quickly. An unresponsive backend server costs the caller the whole deadline, so its first probe is sent
// later.
constexpr std::chrono::seconds initial_backoff{1};
constexpr std::chrono::seconds initial_backoff_after_silence{5};
constexpr std::chrono::seconds max_backoff{60};

// Number of successes since the last ejection after which the backoff is reset.
constexpr std::uint32_t successes_before_backoff_reset = 50;

// Pause after a refusal. It doubles with each refusal until a task succeeds.
constexpr std::chrono::milliseconds initial_pause{5};
constexpr std::chrono::milliseconds max_pause{1000};

// Interval at which the ceiling is raised, in steps that double until the next refusal. With 8 slots and
// tasks of 200 ms this causes one refusal in 80 tasks of the backend server.
constexpr std::chrono::seconds ceiling_interval{2};
constexpr std::uint32_t no_ceiling = std::numeric_limits<std::uint32_t>::max();

} // namespace

void ejection_state::reset_window(std::uint32_t window) {
    window_ = window;
    window_ceiling_ = no_ceiling;
}

void ejection_state::succeeded(time_point now) {
    all_consecutive_failures_ = 0;
    counted_consecutive_failures_ = 0;
    failure_ratio_ -= failure_weight * failure_ratio_;
    pause_ = std::chrono::nanoseconds{0};
    if (++successes_ >= successes_before_backoff_reset)
        backoff_ = std::chrono::nanoseconds{0};
    if (window_ceiling_ != no_ceiling && now - ceiling_raised_at_ >= ceiling_interval) {
        window_ceiling_ += ceiling_step_;
        ceiling_step_ *= 2;
        ceiling_raised_at_ = now;
    }
    // Prevents an overflow. The slots limit the load before the window becomes this large.
    constexpr std::uint32_t max_window = 1U << 20;
    window_ = std::min({window_ + 1, window_ceiling_, max_window});
}

void ejection_state::failed(bool is_same_job) {
    // Otherwise a defective backend server that fails tasks quickly would always have free slots for more.
    if (++all_consecutive_failures_ >= failures_before_window_reset)
        window_ = 1;
    if (is_same_job)
        return;
    ++counted_consecutive_failures_;
    failure_ratio_ += failure_weight * (1 - failure_ratio_);
}

void ejection_state::refused(bool is_queue_full, std::uint32_t other_tasks, time_point now) {
    if (is_queue_full) {
        window_ceiling_ = std::max<std::uint32_t>(other_tasks, 1);
        ceiling_step_ = 1;
        ceiling_raised_at_ = now;
        window_ = std::min(window_, window_ceiling_);
    } else {
        window_ = 1;
    }
    // Refusals of the same batch lengthen the pause only once.
    if (now < paused_until_)
        return;
    pause_ = std::clamp<std::chrono::nanoseconds>(2 * pause_, initial_pause, max_pause);
    paused_until_ = now + pause_;
}

bool ejection_state::has_excessive_failures(double peer_failure_ratio) const {
    const double ratio = std::clamp(peer_failure_ratio, 0.01, 0.9);
    const double needed_failures = std::ceil(std::log(max_false_ejection_probability) / std::log(ratio));
    const auto limit = std::clamp(static_cast<std::uint32_t>(needed_failures), min_failures, max_failures);
    return counted_consecutive_failures_ >= limit;
}

void ejection_state::eject(ejection_cause cause, time_point now) {
    cause_ = cause;
    successes_ = 0;
    window_ = 1;
    lengthen_backoff();
    probe_at_ = now + backoff_;
}

void ejection_state::record_probe(time_point now) {
    lengthen_backoff();
    probe_at_ = now + backoff_;
}

void ejection_state::lengthen_backoff() {
    const auto first = cause_ == ejection_cause::silence ? initial_backoff_after_silence : initial_backoff;
    backoff_ = std::clamp<std::chrono::nanoseconds>(2 * backoff_, first, max_backoff);
}

void ejection_state::readmit(std::uint32_t window) {
    cause_ = ejection_cause::none;
    all_consecutive_failures_ = 0;
    counted_consecutive_failures_ = 0;
    window_ = std::min(window, window_ceiling_);
}

} // namespace persimmonstile
