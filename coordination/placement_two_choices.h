#pragma once

#include "coordination/placement_policy.h"
#include "coordination/placement_set.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace persimmonstile {

// Picks two backend servers that may receive a task at random and chooses the one with fewer tasks per slot.
class placement_two_choices {
public:
    void update(std::uint32_t id, const placement_load& load, std::mt19937_64&) {
        if (id >= loads_.size())
            loads_.resize(id + std::size_t{1});
        loads_[id] = load.tasks / load.slots;
        available_.insert(id);
    }

    void remove(std::uint32_t id) { available_.remove(id); }

    std::optional<std::uint32_t> choose(std::mt19937_64& random) const {
        if (available_.empty())
            return std::nullopt;
        const std::uint32_t first = available_.random_element(random);
        const std::uint32_t second = available_.random_element(random);
        return loads_[second] < loads_[first] ? second : first;
    }

private:
    placement_set available_;
    std::vector<double> loads_;
};

static_assert(placement_policy<placement_two_choices>);

} // namespace persimmonstile
