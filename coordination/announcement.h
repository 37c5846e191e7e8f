#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// What a backend server says of itself to the agent beside it.
struct announcement {
    std::string service;
    std::string url;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool leaving = false;

    bool operator==(const announcement&) const = default;
};

} // namespace persimmonstile
