#pragma once

#include "state/time.h"

namespace persimmonstile {

// Thresholds for detecting that a process has more work than its processor can handle.
struct overload_thresholds {
    // A timer that is late by this much counts as late: events are queuing up. Far above the time of a single
    // event, and a fraction of the callers' shortest latency objective.
    milliseconds late{40};
    // The process is overloaded once all timers have been late for this long. Longer than any single work
    // item.
    milliseconds detection_time{250};
    // Recovery time after an overload. Doubles, up to the maximum, each time the overload recurs within
    // repeat_window.
    milliseconds min_recovery{2000};
    milliseconds max_recovery{8000};
    // An overload that begins this long after the last one ended has another cause, so the recovery time
    // starts from its minimum again.
    milliseconds repeat_window{15000};
};

// Detects from late timers that a process is overloaded and should receive less load. An event queue that
// drains now and then is normal. A queue that persists means that work arrives faster than it is handled.
// After an overload the process still counts as overloaded for a recovery time (hysteresis), so that the
// state does not oscillate.
class overload_detector {
public:
    explicit overload_detector(const overload_thresholds& thresholds = {})
        : thresholds_{thresholds} {}

    // Reports that a timer that was due at `due` has fired.
    void timer_fired(time_point due, time_point now);

    bool is_overloaded() const { return is_overloaded_; }

private:
    // Begins an overload or, if there is one, restarts its recovery time.
    void mark_overloaded(time_point now);

    overload_thresholds thresholds_;
    bool is_overloaded_ = false;
    // Start of the current series of late timers; time_point::max() if the last timer was on time.
    time_point late_since_ = time_point::max();
    time_point recovering_until_{};
    milliseconds recovery_time_{0};
    time_point overload_ended_at_{};
};

} // namespace persimmonstile
