#pragma once

#include "state/time.h"

namespace persimmonstile {

// Closes connections of an overloaded process one after the other. Callers keep their connection, so only
// this makes them go elsewhere; a new connection is work too, and the other processes have to take them.
class connection_shedding {
public:
    // True if the connection whose answer is sent now is to be closed behind it.
    bool take_one(bool is_overloaded, time_point now) {
        if (!is_overloaded || now < next_)
            return false;
        next_ = now + interval;
        return true;
    }

    // Ten connections a second: those of a site's callers are some tens for each entry.
    static constexpr milliseconds interval{100};

private:
    // No connection is closed before it.
    time_point next_{};
};

} // namespace persimmonstile
