#pragma once

#include "state/time.h"

namespace persimmonstile {

// Figures by which a process judges whether it has more to do than its processor carries.
struct overload_limits {
    // A process whose timers are all late by this much has a standing queue of events. Far above the time of
    // a single event, and a part of the shortest objective of callers.
    milliseconds late{40};
    // For so long no timer may have been on time. Longer than any single piece of work.
    milliseconds judged_over{250};
    // Without load for so long at first, and for twice as long each time it comes back too soon.
    milliseconds shortest_rest{2000};
    milliseconds longest_rest{8000};
    // An overload that comes this long after the last one has another cause.
    milliseconds forgotten_after{15000};
};

// Tells from the lateness of timers whether a process is overloaded and should be given less to do. A queue
// that drains now and then is usual; one that stands for a while means that more comes than is carried. After
// an overload the process rests for a while before it counts as able again, so that it does not swing.
class overload_watch {
public:
    explicit overload_watch(const overload_limits& limits = {})
        : limits_{limits} {}

    // A timer that was due at the time `due` has fired.
    void timer_fired(time_point due, time_point now);

    bool is_overloaded() const { return is_overloaded_; }

private:
    void begin(time_point now);

    overload_limits limits_;
    bool is_overloaded_ = false;
    // Since then all timers were late; time_point::max() if the last one was not.
    time_point late_since_ = time_point::max();
    time_point rests_until_{};
    milliseconds rest_{0};
    time_point ended_{};
};

} // namespace persimmonstile
