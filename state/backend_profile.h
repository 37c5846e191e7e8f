#pragma once

#include "state/resources.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// What a backend server says of itself.
struct backend_profile {
    std::string id;
    // Distinguishes the lives of a backend server under one id. Grows with each start.
    std::uint64_t life = 0;
    std::string service;
    std::string zone;
    resources capacity;
    // Backend servers of one kind run at the same speed.
    std::string kind;
    std::string rack;
    // All labels that a job may require, kind and rack among them.
    std::vector<std::string> labels;
    // It finishes what runs and takes nothing new.
    bool draining = false;

    bool operator==(const backend_profile&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&backend_profile::id, &backend_profile::life, &backend_profile::service,
                               &backend_profile::zone, &backend_profile::capacity, &backend_profile::kind,
                               &backend_profile::rack, &backend_profile::labels, &backend_profile::draining);
    }
};

} // namespace persimmonstile
