#pragma once

#include "state/time.h"

#include <chrono>

namespace persimmonstile {

// Whether a task that could start now elsewhere may go on waiting for a better place. It waits no longer than
// the wait can save (delay scheduling with the bound of the ski rental problem), so a wrong forecast costs at
// most as much again as the worse place would have.
inline bool may_keep_waiting(time_point waiting_since, double saved_seconds, time_point now) {
    return std::chrono::duration<double>{now - waiting_since}.count() < saved_seconds;
}

} // namespace persimmonstile
