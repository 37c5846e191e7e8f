#pragma once

#include "state/time.h"

namespace persimmonstile {

// The injected clock. Daemons read the machine's clocks; tests advance time by hand.
class clock_source {
public:
    virtual ~clock_source() = default;

    // Time for leases, timeouts and measurements.
    virtual time_point now() const = 0;

    // Calendar time. Only for UUIDv7 ids, expiry dates and reports, because it may jump.
    virtual wall_time wall_now() const = 0;
};

} // namespace persimmonstile
