#include "coordination/placement/release_forecast.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace persimmonstile {

release_forecast release_forecast::of(const agent_view& agent, const resources& free, const resources& needs,
                                      double needs_per_run, time_point now) {
    constexpr double never = std::numeric_limits<double>::infinity();
    if (!needs.fits_in(agent.profile.backend.capacity))
        return {never, false};
    for (const capacity_release& release : agent.reported_capacity.releases) {
        if (!needs.fits_in(free + release.amount))
            continue;
        const std::chrono::duration<double> left = agent.capacity.last_report() + release.in() - now;
        return {std::max(0.0, left.count()), true};
    }
    const double released_per_second = agent.capacity.starts_per_second() * needs_per_run;
    const auto shortage = static_cast<double>(needs.cpu_millicores - free.cpu_millicores);
    // Only the release of processors can be derived from the rate.
    if (shortage <= 0 || released_per_second <= 0)
        return {never, false};
    return {shortage / released_per_second, false};
}

} // namespace persimmonstile
