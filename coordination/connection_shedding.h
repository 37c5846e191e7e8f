#pragma once

#include "state/time.h"

namespace persimmonstile {

// Limits how fast an overloaded process closes its connections. Callers keep their connection open, so they
// move to another process only when it is closed. Closing is gradual because each new connection costs work
// and the other processes have to accept it.
class connection_shedding {
public:
    // Whether to close the connection after the response that is sent now.
    bool take_one(bool is_overloaded, time_point now) {
        if (!is_overloaded || now < next_)
            return false;
        next_ = now + interval;
        return true;
    }

    // Ten connections per second; the callers of a site hold some tens of connections to each entry.
    static constexpr milliseconds interval{100};

private:
    // Earliest time of the next close.
    time_point next_{};
};

} // namespace persimmonstile
