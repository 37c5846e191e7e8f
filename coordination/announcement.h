#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// What a backend server announces about itself to its agent.
struct announcement {
    std::string service;
    std::string url;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool leaving = false;

    bool operator==(const announcement&) const = default;
};

} // namespace persimmonstile
