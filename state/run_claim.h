#pragma once

#include "state/incarnation.h"
#include "state/resources.h"
#include "state/run_ref.h"

#include <tuple>
#include <vector>

namespace persimmonstile {

// A run and the resources that it needs.
struct claimed_run {
    run_ref run;
    resources needs;

    static constexpr auto members() { return std::make_tuple(&claimed_run::run, &claimed_run::needs); }
};

// Owner to agent: these runs, which the restarted agent found on its backend server, belong to this owner.
struct run_claim {
    incarnation owner;
    bool is_durable = true;
    std::vector<claimed_run> runs;

    static constexpr auto members() {
        return std::make_tuple(&run_claim::owner, &run_claim::is_durable, &run_claim::runs);
    }
};

} // namespace persimmonstile
