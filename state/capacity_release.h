#pragma once

#include "state/resources.h"

#include <chrono>
#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Capacity of a backend server that is expected to come free because runs end.
struct capacity_release {
    // Time from the sending of the message, in milliseconds.
    std::int64_t in_ms = 0;
    // Total amount that is expected to come free within that time.
    resources amount;

    bool operator==(const capacity_release&) const = default;

    std::chrono::milliseconds in() const { return std::chrono::milliseconds{in_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&capacity_release::in_ms, &capacity_release::amount);
    }
};

} // namespace persimmonstile
