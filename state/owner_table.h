#pragma once

#include "state/entry_address.h"
#include "state/ids.h"
#include "state/partition_owner.h"

#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// The owner of each partition. The table is kept in the store; processes hold copies and replace them only
// with newer versions. partitions has partition_count elements unless version is 0. grantors are names of
// agents. writer and operation_id let a writer that got no reply recognize its own write.
struct owner_table {
    table_version version = 0;
    std::vector<partition_owner> partitions;
    std::vector<entry_address> entries;
    std::vector<std::string> grantors;
    std::string writer;
    std::string operation_id;

    bool operator==(const owner_table&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&owner_table::version, &owner_table::partitions, &owner_table::entries,
                               &owner_table::grantors, &owner_table::writer, &owner_table::operation_id);
    }
};

} // namespace persimmonstile
