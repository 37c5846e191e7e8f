#pragma once

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Clock type of a monotonic clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME on
// Linux). With a clock that stops during suspension, a resumed process would take expired grants for valid.
// The time comes from clock_source, so the type has no now().
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using time_point = boot_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

// Converts to calendar time in milliseconds since 1970, as stored in records.
inline std::int64_t unix_time_ms(wall_time wall) {
    return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count();
}

} // namespace persimmonstile
