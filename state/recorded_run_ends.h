#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: the agent may now acknowledge these ends of runs to the backend server, which then forgets
// them, because the results are in the store or are no longer needed.
struct recorded_run_ends {
    // Lifetime of the backend server that listed the ends, as in backend_profile::life.
    std::uint64_t backend_life = 0;
    std::vector<std::uint64_t> end_numbers;

    static constexpr auto members() {
        return std::make_tuple(&recorded_run_ends::backend_life, &recorded_run_ends::end_numbers);
    }
};

} // namespace persimmonstile
