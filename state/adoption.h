#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// The record that the jobs of a deposed session belong to another one.
struct adoption {
    incarnation former;
    incarnation successor;
    // Number of successions since the jobs were accepted. Run numbers of later owners are higher.
    std::uint32_t depth = 1;

    static constexpr auto members() {
        return std::make_tuple(&adoption::former, &adoption::successor, &adoption::depth);
    }
};

} // namespace persimmonstile
