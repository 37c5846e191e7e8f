#pragma once

#include "state/time.h"

namespace persimmonstile {

// Limits the rate at which an overloaded process closes connections. A caller keeps its connection open and
// moves to another process only when the connection is closed. The rate is limited because each new
// connection costs work, and the other processes have to accept it.
class connection_shedder {
public:
    // Returns whether to close the connection after the response that is sent now. If so, no other connection
    // is closed for the next interval.
    bool should_close(bool is_overloaded, time_point now) {
        if (!is_overloaded || now < next_close_)
            return false;
        next_close_ = now + close_interval;
        return true;
    }

    // Ten connections per second. The callers of a site hold some tens of connections to each entry.
    static constexpr milliseconds close_interval{100};

private:
    // Earliest time of the next close.
    time_point next_close_{};
};

} // namespace persimmonstile
