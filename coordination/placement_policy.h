#pragma once

#include "coordination/placement_load.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <random>

namespace persimmonstile {

// Chooses among the backend servers of one service that may receive a task now. The scheduler calls update
// whenever the load of such a backend server changes, and remove when it may not receive a task for the
// present. Backend servers are numbered consecutively from 0. The cost of every operation must grow far more
// slowly than their number.
template <typename policy>
concept placement_policy = std::default_initializable<policy> &&
    requires(policy placement, const policy& constant, std::uint32_t id, const placement_load& load,
             std::mt19937_64& random) {
    placement.update(id, load, random);
    placement.remove(id);
    { constant.choose(random) } -> std::same_as<std::optional<std::uint32_t>>;
};

} // namespace persimmonstile
