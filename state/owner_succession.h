#pragma once

#include "state/incarnation.h"

#include <tuple>

namespace persimmonstile {

// Successor to agent: the former owner is deposed. From now on the agent refuses requests of the former owner
// and reports that owner's runs to the successor.
struct owner_succession {
    incarnation former;
    incarnation successor;

    static constexpr auto members() {
        return std::make_tuple(&owner_succession::former, &owner_succession::successor);
    }
};

} // namespace persimmonstile
