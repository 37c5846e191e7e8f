#pragma once

#include "coordination/placement_policy.h"
#include "coordination/placement_set.h"

#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Chooses among the backend servers that may receive a task now, all with equal probability.
class placement_random {
public:
    void update(std::uint32_t id, const placement_load&, std::mt19937_64&) { available_.insert(id); }
    void remove(std::uint32_t id) { available_.remove(id); }

    std::optional<std::uint32_t> choose(std::mt19937_64& random) const {
        if (available_.empty())
            return std::nullopt;
        return available_.random_element(random);
    }

private:
    placement_set available_;
};

static_assert(placement_policy<placement_random>);

} // namespace persimmonstile
