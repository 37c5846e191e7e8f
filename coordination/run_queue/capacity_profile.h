#pragma once

#include "coordination/run_queue/active_run.h"
#include "state/capacity_release.h"
#include "state/resources.h"
#include "state/time.h"

#include <optional>
#include <vector>

namespace persimmonstile {

// The free capacity of a backend server over the time to come: what is free now, the expected ends of what
// runs, and the reservations of runs that wait.
class capacity_profile {
public:
    capacity_profile(const resources& free, const std::vector<active_run>& active);

    // Time until capacity for `needs` is free for `duration` without a break; 0 if that is now. Not set if it
    // is not expected to be within `limit`.
    std::optional<milliseconds> time_until_free(const resources& needs, milliseconds duration,
                                                milliseconds limit) const;
    // Takes the capacity for this time, for a run that waits or starts.
    void reserve(const resources& needs, milliseconds from, milliseconds duration);

    // The expected ends in at most max_release_steps cumulative steps. Reservations are not included.
    static constexpr std::size_t max_release_steps = 4;
    static std::vector<capacity_release> releases(const std::vector<active_run>& active);

private:
    struct change {
        milliseconds at{0};
        resources amount;
    };

    void add(change added);

    resources free_;
    // In chronological order.
    std::vector<change> changes_;
};

} // namespace persimmonstile
