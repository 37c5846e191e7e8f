#pragma once

#include "state/time.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>

namespace persimmonstile {

// Bounds how often equal log lines are written: at most max_lines for each key in one window. Thread-safe.
class repeat_limiter {
public:
    // The jobs that an entry of the largest deployment gets in a second of a rush, so that the line of each
    // failed one is there.
    static constexpr std::uint32_t max_lines = 250;
    static constexpr std::chrono::seconds window{1};

    // Nothing if the line must be left out; otherwise how many lines of this key were left out since the last
    // one that was admitted.
    std::optional<std::uint64_t> admit(std::uint64_t key, time_point now);

private:
    // Fixed, so that memory stays bounded however many different lines there are. Two keys in one slot
    // displace each other, which admits more lines than the bound and never fewer.
    static constexpr std::size_t slot_count = 256;

    struct slot {
        std::uint64_t key = 0;
        time_point window_start{};
        std::uint32_t lines = 0;
        std::uint64_t left_out = 0;
    };

    std::mutex mutex_;
    std::array<slot, slot_count> slots_{};
};

} // namespace persimmonstile
