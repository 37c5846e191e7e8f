#pragma once

#include "state/time.h"

#include <cstdint>

namespace persimmonstile {

// How the store stand-in answers while it is down.
//   no       it is up
//   refuse   status 503
//   silent   it accepts connections and requests and does not answer
enum class store_outage : std::uint8_t { no, refuse, silent };

// Faults that the store stand-in shows. The counters say for how many of the next calls a fault holds.
struct store_faults {
    milliseconds delay{0};
    store_outage outage = store_outage::no;
    // Writes that take effect and whose response is cut off.
    std::uint32_t lose_answers = 0;
    // Reads that return the value before the last change.
    std::uint32_t stale_reads = 0;
};

} // namespace persimmonstile
