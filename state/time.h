#pragma once

#include <chrono>
#include <cstdint>

namespace persimmonstile {

// Tag for a clock that never jumps and keeps counting while the machine is suspended (CLOCK_BOOTTIME on
// Linux). A clock that stops during suspension would let a resumed process believe that its grants still
// hold. Values come from clock_source, so the tag has no now().
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

// Calendar time in milliseconds since 1970, as records hold it.
inline std::int64_t calendar_ms(wall_time wall) {
    return std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count();
}

} // namespace persimmonstile
