#pragma once

#include "coordination/placement_heap.h"
#include "coordination/placement_policy.h"

#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Chooses the backend server with the most credits, which are its slots minus its tasks. Speed is not
// considered. Ties are broken at random.
class placement_credits {
public:
    void update(std::uint32_t id, const placement_load& load, std::mt19937_64& random) {
        heap_.update(id, load.tasks - load.slots, static_cast<std::uint32_t>(random()));
    }

    void remove(std::uint32_t id) { heap_.remove(id); }

    std::optional<std::uint32_t> choose(std::mt19937_64&) const { return heap_.top(); }

private:
    placement_heap heap_;
};

static_assert(placement_policy<placement_credits>);

} // namespace persimmonstile
