#pragma once

#include "state/time.h"

namespace persimmonstile {

// How a stand-in for the platform's store misbehaves towards all of its clients.
struct kv_faults {
    // Every call is refused with 503, and nothing is done.
    bool is_busy = false;
    // Added to each answer.
    milliseconds delay{0};
    // Part of the writes that are done at once and never answered.
    double unanswered = 0;
    // Part of the writes that are not answered and done some seconds later, if they still can be.
    double late = 0;
};

} // namespace persimmonstile
