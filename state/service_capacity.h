#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Number of slots that the backend server on the machine of an agent announced for one service.
struct service_capacity {
    std::string service;
    std::uint32_t slots = 0;

    bool operator==(const service_capacity&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&service_capacity::service, &service_capacity::slots);
    }
};

} // namespace persimmonstile
