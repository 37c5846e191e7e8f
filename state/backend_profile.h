#pragma once

#include "state/resources.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// What a backend server announces about itself: identity, capacity and labels.
struct backend_profile {
    std::string id;
    // Distinguishes the lifetimes of a backend server that restarts with the same id. Grows with each start.
    std::uint64_t life = 0;
    std::string service;
    std::string zone;
    resources capacity;
    // Backend servers of the same kind run tasks at the same speed.
    std::string kind;
    std::string rack;
    // All labels that a job may require, including kind and rack.
    std::vector<std::string> labels;
    // The backend server finishes its current runs and accepts no new runs.
    bool draining = false;

    bool operator==(const backend_profile&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&backend_profile::id, &backend_profile::life, &backend_profile::service,
                               &backend_profile::zone, &backend_profile::capacity, &backend_profile::kind,
                               &backend_profile::rack, &backend_profile::labels, &backend_profile::draining);
    }
};

} // namespace persimmonstile
