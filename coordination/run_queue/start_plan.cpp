#include "coordination/run_queue/start_plan.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Runs whose times left fall into the same step are equally urgent. The times left follow from estimated run
// times, which are off by 40%: 24 ms for the shortest tasks (60 ms).
constexpr milliseconds urgency_step{25};

// A run may wait longer than the queue timeout if it is expected to start within this part of the time left.
// The rest covers the error of the prediction (run times vary by 40%) and a start on another agent (3 to
// 5 ms).
constexpr std::int64_t long_wait_divisor = 2;

// Assumed for a run whose run time is unknown, so that it delays no other run.
constexpr milliseconds unknown_duration = std::chrono::hours{1};

std::int64_t urgency_of(const waiting_run& run) {
    return run.start_within ? *run.start_within / urgency_step : 0;
}

bool can_be_in_time(const waiting_run& run) {
    return run.start_within && run.start_within->count() >= 0;
}

} // namespace

bool starts_before(const waiting_run& left, const waiting_run& right, const entry_shares& shares) {
    if (can_be_in_time(left) != can_be_in_time(right))
        return can_be_in_time(left);
    if (can_be_in_time(left) && urgency_of(left) != urgency_of(right))
        return urgency_of(left) < urgency_of(right);
    if (left.priority != right.priority)
        return left.priority < right.priority;
    const bool is_left_below = shares.is_below_share(left.entry);
    const bool is_right_below = shares.is_below_share(right.entry);
    if (is_left_below != is_right_below)
        return is_left_below;
    return left.waited > right.waited;
}

milliseconds longest_wait(const waiting_run& run, milliseconds queue_timeout) {
    const milliseconds timeout_left = queue_timeout - run.waited;
    if (!run.start_within)
        return timeout_left;
    return std::min(*run.start_within, std::max(timeout_left, *run.start_within / long_wait_divisor));
}

start_plan plan_starts(std::vector<waiting_run> queue, capacity_profile profile, entry_shares shares,
                       std::size_t max_starts, milliseconds queue_timeout) {
    for (const waiting_run& run : queue)
        shares.add_competitor(run.entry);
    start_plan plan;
    // Each start changes the shares, so the next run is chosen after it.
    for (auto first = queue.begin(); first != queue.end(); ++first) {
        const auto next =
            std::min_element(first, queue.end(), [&](const waiting_run& left, const waiting_run& right) {
                return starts_before(left, right, shares);
            });
        // Keeps the others in the order of their arrival.
        std::rotate(first, next, std::next(next));
        const waiting_run& run = *first;
        const milliseconds duration = run.expected.count() > 0 ? run.expected : unknown_duration;
        const milliseconds limit = longest_wait(run, queue_timeout);
        const std::optional<milliseconds> wait = profile.time_until_free(run.needs, duration, limit);
        const bool is_now = wait && wait->count() == 0;
        if (is_now && plan.starting.size() < max_starts) {
            plan.starting.push_back(run.run);
            shares.add_use(run.entry, run.needs);
        } else if (!wait || (is_now && run.waited >= queue_timeout)) {
            // Capacity is free, but no start order may be sent: when that ends is not predicted.
            plan.returned.push_back(run.run);
            continue;
        }
        profile.reserve(run.needs, *wait, duration);
    }
    return plan;
}

} // namespace persimmonstile
