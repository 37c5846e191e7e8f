#pragma once

#include "state/owner_table.h"

#include <tuple>

namespace persimmonstile {

// Entry to agent or agent to entry: the owner table of the sender, for a receiver that has an older version.
struct table_push {
    owner_table table;

    static constexpr auto members() { return std::make_tuple(&table_push::table); }
};

} // namespace persimmonstile
