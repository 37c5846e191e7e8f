#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Identifies one lifetime of a process, or one session of an entry; an entry can begin several sessions in
// one process. A restarted process or a new session keeps the name and gets a new number, so messages for an
// earlier one can be recognized. Numbers are unique; their order has no meaning.
struct incarnation {
    std::string name;
    std::uint64_t number = 0;

    auto operator<=>(const incarnation&) const = default;

    static constexpr auto members() { return std::make_tuple(&incarnation::name, &incarnation::number); }
};

} // namespace persimmonstile
