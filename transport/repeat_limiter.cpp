#include "transport/repeat_limiter.h"

#include <utility>

namespace persimmonstile {

std::optional<std::uint64_t> repeat_limiter::admit(std::uint64_t key, time_point now) {
    const std::lock_guard lock{mutex_};
    slot& entry = slots_[key % slot_count];
    if (entry.key != key || entry.lines == 0) {
        entry = {key, now, 1, 0};
        return 0;
    }
    if (now - entry.window_start >= window) {
        entry.window_start = now;
        entry.lines = 0;
    }
    if (entry.lines >= max_lines) {
        ++entry.left_out;
        return std::nullopt;
    }
    ++entry.lines;
    return std::exchange(entry.left_out, 0);
}

} // namespace persimmonstile
