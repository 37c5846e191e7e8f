#include "coordination/overload_detector.h"

#include <algorithm>

namespace persimmonstile {

void overload_detector::timer_fired(time_point due, time_point now) {
    if (now - due < limits_.late) {
        late_since_ = time_point::max();
        if (is_overloaded_ && now >= recovering_until_) {
            is_overloaded_ = false;
            ended_ = now;
        }
        return;
    }
    if (late_since_ == time_point::max())
        late_since_ = now;
    if (now - late_since_ >= limits_.detection_time)
        begin(now);
}

void overload_detector::begin(time_point now) {
    if (!is_overloaded_) {
        const bool is_repeated = recovery_.count() > 0 && now - ended_ < limits_.repeat_window;
        recovery_ = is_repeated ? std::min(2 * recovery_, limits_.max_recovery) : limits_.min_recovery;
        is_overloaded_ = true;
    }
    recovering_until_ = now + recovery_;
}

} // namespace persimmonstile
