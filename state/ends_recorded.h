#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to agent: the store holds what follows from these ends, or nothing follows from them any more. The
// agent may acknowledge them to the backend server, which then forgets them.
struct ends_recorded {
    // Life of the backend server that listed the ends.
    std::uint64_t backend_life = 0;
    std::vector<std::uint64_t> end_numbers;

    static constexpr auto members() {
        return std::make_tuple(&ends_recorded::backend_life, &ends_recorded::end_numbers);
    }
};

} // namespace persimmonstile
