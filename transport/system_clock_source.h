#pragma once

#include "state/clock_source.h"

namespace persimmonstile {

// The machine's clocks.
class system_clock_source : public clock_source {
public:
    time_point now() const override;
    wall_time wall_now() const override;
};

} // namespace persimmonstile
