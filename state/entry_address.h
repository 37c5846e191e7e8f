#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// An entry and the address at which other processes reach it, as "ip:port".
struct entry_address {
    incarnation entry;
    std::string address;

    bool operator==(const entry_address&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&entry_address::entry, &entry_address::address);
    }
};

} // namespace persimmonstile
