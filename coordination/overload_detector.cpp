#include "coordination/overload_detector.h"

#include <algorithm>

namespace persimmonstile {

void overload_detector::timer_fired(time_point due, time_point now) {
    if (now - due < thresholds_.late) {
        late_since_ = time_point::max();
        if (is_overloaded_ && now >= recovering_until_) {
            is_overloaded_ = false;
            overload_ended_at_ = now;
        }
        return;
    }
    if (late_since_ == time_point::max())
        late_since_ = now;
    if (now - late_since_ >= thresholds_.detection_time)
        mark_overloaded(now);
}

void overload_detector::mark_overloaded(time_point now) {
    if (!is_overloaded_) {
        const bool is_repeated =
            recovery_time_.count() > 0 && now - overload_ended_at_ < thresholds_.repeat_window;
        recovery_time_ =
            is_repeated ? std::min(2 * recovery_time_, thresholds_.max_recovery) : thresholds_.min_recovery;
        is_overloaded_ = true;
    }
    recovering_until_ = now + recovery_time_;
}

} // namespace persimmonstile
