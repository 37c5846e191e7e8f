#pragma once

#include "coordination/placement_heap.h"
#include "coordination/placement_policy.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Chooses the backend server with the earliest expected completion: the wait for a slot plus the run time.
// Ties are broken at random, so that entries with the same information do not all choose the same one.
class placement_least_completion {
public:
    void update(std::uint32_t id, const placement_load& load, std::mt19937_64& random) {
        const double tasks_ahead = std::max(0.0, load.tasks + 1 - load.slots);
        const double completion = load.run_seconds * (1 + tasks_ahead / load.slots);
        heap_.update(id, completion, static_cast<std::uint32_t>(random()));
    }

    void remove(std::uint32_t id) { heap_.remove(id); }

    std::optional<std::uint32_t> choose(std::mt19937_64&) const { return heap_.top(); }

private:
    placement_heap heap_;
};

static_assert(placement_policy<placement_least_completion>);

} // namespace persimmonstile
