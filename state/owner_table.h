#pragma once

#include "state/entry_address.h"
#include "state/ids.h"
#include "state/partition_owner.h"

#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// The owner of each partition. The table is kept in the store; processes hold copies and replace them only
// with newer versions.
struct owner_table {
    table_version version = 0;
    // Has partition_count elements, unless version is 0.
    std::vector<partition_owner> partitions;
    std::vector<entry_address> entries;
    // Names of the agents that act as grantors.
    std::vector<std::string> grantors;
    // A writer that got no reply recognizes its own write by these two.
    std::string writer;
    std::string operation_id;

    bool operator==(const owner_table&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&owner_table::version, &owner_table::partitions, &owner_table::entries,
                               &owner_table::grantors, &owner_table::writer, &owner_table::operation_id);
    }
};

} // namespace persimmonstile
