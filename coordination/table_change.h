#pragma once

#include "state/incarnation.h"
#include "state/owner_table.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Entries to remove from the table and at most one to add.
struct entry_change {
    std::set<incarnation> removed;
    std::optional<entry_address> joined;

    bool empty() const { return removed.empty() && !joined; }
};

// Returns the next version of the table with the change applied. Partitions of removed entries move to the
// least loaded others; a joining entry receives its fair share from the most loaded ones. Only moved
// partitions get a new epoch. The table keeps at least one entry.
owner_table with_entries_changed(const owner_table& base, const entry_change& change);

// Return the next version with one grantor added or removed. Majorities of two sets that differ by one member
// always overlap; with larger steps they could be disjoint.
owner_table with_grantor_added(const owner_table& base, const std::string& name);
owner_table with_grantor_removed(const owner_table& base, const std::string& name);

// Returns the first table after one without grantors. All partitions belong to the creator.
owner_table first_table(const owner_table& base, const entry_address& creator,
                        const std::vector<std::string>& grantors);

} // namespace persimmonstile
