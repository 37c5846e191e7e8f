#pragma once

#include <string>
#include <tuple>

namespace persimmonstile {

// Stored record of an agent that may have runs. An entry writes it when an agent without a record connects.
struct agent_record {
    std::string name;
    std::string zone;

    static constexpr auto members() { return std::make_tuple(&agent_record::name, &agent_record::zone); }
};

} // namespace persimmonstile
