#pragma once

#include "state/time.h"

namespace persimmonstile {

// Source of the current time, passed to the code that needs it. Daemons read the machine's clocks; tests
// advance the time by hand.
class clock_source {
public:
    virtual ~clock_source() = default;

    // Monotonic time for leases, timeouts and measurements. Keeps counting while the machine is suspended.
    virtual time_point now() const = 0;

    // Calendar time, which may jump. Used only where a calendar date is needed: UUIDv7 ids, expiry dates,
    // start times of repeated jobs, records and reports.
    virtual wall_time wall_now() const = 0;
};

} // namespace persimmonstile
