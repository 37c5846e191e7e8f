#pragma once

#include "state/incarnation.h"
#include "state/run_ref.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: end these runs, and do not start those that have not started yet.
struct run_stop_request {
    incarnation owner;
    std::vector<run_ref> runs;

    static constexpr auto members() {
        return std::make_tuple(&run_stop_request::owner, &run_stop_request::runs);
    }
};

} // namespace persimmonstile
