#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Stored record of an adoption: the jobs of the deposed session (former) now belong to the successor.
struct session_adoption {
    incarnation former;
    incarnation successor;
    // Number of times that the jobs have changed their owner since they were accepted. Each owner counts its
    // runs from a base that grows with this number, so later owners use higher run numbers.
    std::uint32_t succession_count = 1;

    static constexpr auto members() {
        return std::make_tuple(&session_adoption::former, &session_adoption::successor,
                               &session_adoption::succession_count);
    }
};

} // namespace persimmonstile
