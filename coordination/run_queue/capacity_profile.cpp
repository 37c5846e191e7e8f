#include "coordination/run_queue/capacity_profile.h"

#include "coordination/run_queue/run_end_estimate.h"

#include <algorithm>
#include <array>

namespace persimmonstile {

namespace {

// Latest time of each step of the reported releases. The first covers the time that a run may wait in the
// queue of an agent, the second the life of a report; later releases matter only to long tasks.
constexpr std::array<milliseconds, capacity_profile::max_release_steps> step_limits{
    milliseconds{20}, milliseconds{60}, milliseconds{200}, milliseconds{2000}};

} // namespace

capacity_profile::capacity_profile(const resources& free, const std::vector<active_run>& active)
    : free_{free} {
    for (const active_run& run : active) {
        if (const std::optional<milliseconds> remaining = median_remaining(run))
            changes_.push_back({*remaining, run.needs});
    }
    std::sort(changes_.begin(), changes_.end(),
              [](const change& left, const change& right) { return left.at < right.at; });
}

std::optional<milliseconds> capacity_profile::time_until_free(const resources& needs, milliseconds duration,
                                                              milliseconds limit) const {
    resources free = free_;
    std::optional<milliseconds> start;
    if (needs.fits_in(free))
        start = milliseconds{0};
    for (std::size_t i = 0; i < changes_.size();) {
        const milliseconds at = changes_[i].at;
        if (start ? at >= *start + duration : at > limit)
            break;
        for (; i < changes_.size() && changes_[i].at == at; ++i)
            free += changes_[i].amount;
        if (!needs.fits_in(free))
            start.reset();
        else if (!start)
            start = at;
    }
    return start && *start <= std::max(limit, milliseconds{0}) ? start : std::nullopt;
}

void capacity_profile::reserve(const resources& needs, milliseconds from, milliseconds duration) {
    add({from, resources{} - needs});
    add({from + duration, needs});
}

void capacity_profile::add(change added) {
    if (added.at.count() <= 0) {
        free_ += added.amount;
        return;
    }
    const auto later =
        std::upper_bound(changes_.begin(), changes_.end(), added.at,
                         [](milliseconds at, const change& present) { return at < present.at; });
    changes_.insert(later, added);
}

std::vector<capacity_release> capacity_profile::releases(const std::vector<active_run>& active) {
    std::array<capacity_release, max_release_steps> steps{};
    for (const active_run& run : active) {
        const std::optional<milliseconds> remaining = median_remaining(run);
        if (!remaining || *remaining > step_limits.back())
            continue;
        const auto limit = std::lower_bound(step_limits.begin(), step_limits.end(), *remaining);
        capacity_release& step = steps[static_cast<std::size_t>(limit - step_limits.begin())];
        step.in_ms = std::max<std::int64_t>(step.in_ms, remaining->count());
        step.amount += run.needs;
    }
    std::vector<capacity_release> result;
    for (const capacity_release& step : steps) {
        if (step.amount == resources{})
            continue;
        const resources earlier = result.empty() ? resources{} : result.back().amount;
        result.push_back({step.in_ms, earlier + step.amount});
    }
    return result;
}

} // namespace persimmonstile
