#pragma once

#include "state/incarnation.h"
#include "state/run_ref.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: end these runs, or do not start them.
struct stop_runs {
    incarnation owner;
    std::vector<run_ref> runs;

    static constexpr auto members() { return std::make_tuple(&stop_runs::owner, &stop_runs::runs); }
};

} // namespace persimmonstile
