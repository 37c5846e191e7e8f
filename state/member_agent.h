#pragma once

#include <string>
#include <tuple>

namespace persimmonstile {

// Stored record of an agent that may have runs.
struct member_agent {
    std::string name;
    std::string zone;

    static constexpr auto members() { return std::make_tuple(&member_agent::name, &member_agent::zone); }
};

} // namespace persimmonstile
