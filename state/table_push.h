#pragma once

#include "state/owner_table.h"

#include <tuple>

namespace persimmonstile {

// Sends the owner table to a process that has an older version.
struct table_push {
    owner_table table;

    static constexpr auto members() { return std::make_tuple(&table_push::table); }
};

} // namespace persimmonstile
