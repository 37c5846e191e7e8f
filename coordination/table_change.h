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
// entries with the fewest partitions; a joining entry receives its fair share from those with the most. Only
// moved partitions get a new epoch. At least one entry must remain.
owner_table with_entries_changed(const owner_table& base, const entry_change& change);

// Return the next version of the table with one grantor added or removed. Any majorities of two sets that
// differ by one member overlap; those of sets that differ by more could be disjoint.
owner_table with_grantor_added(const owner_table& base, const std::string& name);
owner_table with_grantor_removed(const owner_table& base, const std::string& name);

// Returns the first table with grantors, as the next version of base. All partitions belong to the creator.
owner_table first_table(const owner_table& base, const entry_address& creator,
                        const std::vector<std::string>& grantors);

} // namespace persimmonstile
