#pragma once

#include "state/incarnation.h"
#include "state/owner_table.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Entries to take out of the table and at most one to put in.
struct entry_change {
    std::set<incarnation> removed;
    std::optional<entry_address> joined;

    bool empty() const { return removed.empty() && !joined; }
};

// The next version of the table after the change. Partitions of removed entries go to the least loaded of
// the others; a joining entry receives its fair part from the most loaded ones. Only moved partitions get a
// new epoch. The table keeps at least one entry.
owner_table with_entries_changed(const owner_table& base, const entry_change& change);

// The next version with one grantor added or removed. Two sets that differ by one member have no disjoint
// majorities; larger steps would allow them.
owner_table with_grantor_added(const owner_table& base, const std::string& name);
owner_table with_grantor_removed(const owner_table& base, const std::string& name);

// The first table after one without grantors: all partitions belong to the creator.
owner_table first_table(const owner_table& base, const entry_address& creator,
                        const std::vector<std::string>& grantors);

} // namespace persimmonstile
