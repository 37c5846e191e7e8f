#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// One run of a named process. A restart keeps the name and takes a new number, so that
// messages for an earlier run are recognised. Numbers are unique, their order has no meaning.
struct incarnation {
    std::string name;
    std::uint64_t number = 0;

    auto operator<=>(const incarnation&) const = default;

    static constexpr auto members() { return std::make_tuple(&incarnation::name, &incarnation::number); }
};

} // namespace persimmonstile
