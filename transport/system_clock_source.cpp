#include "transport/system_clock_source.h"

#include <ctime>

namespace persimmonstile {

time_point system_clock_source::now() const {
    std::timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point{std::chrono::seconds{reading.tv_sec} + std::chrono::nanoseconds{reading.tv_nsec}};
}

wall_time system_clock_source::wall_now() const {
    return std::chrono::system_clock::now();
}

} // namespace persimmonstile
