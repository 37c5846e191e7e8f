#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Stored record of a session takeover: the jobs of the deposed session now belong to its successor.
struct session_adoption {
    incarnation former;
    incarnation successor;
    // Number of successions since the jobs were accepted. A later owner uses higher run numbers.
    std::uint32_t succession_count = 1;

    static constexpr auto members() {
        return std::make_tuple(&session_adoption::former, &session_adoption::successor,
                               &session_adoption::succession_count);
    }
};

} // namespace persimmonstile
