#pragma once

#include "state/owner_table.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace persimmonstile {

// Number of members that form a majority of a set of this size. Any two majorities share a member. The result
// for an empty set is 1, so an empty set never has a majority.
constexpr std::size_t majority_of(std::size_t size) {
    return size / 2 + 1;
}

inline bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

inline bool has_entry(const owner_table& table, const incarnation& entry) {
    return std::any_of(table.entries.begin(), table.entries.end(),
                       [&](const entry_address& known) { return known.entry == entry; });
}

// True if the predicate holds for a majority of the names.
template <typename Predicate>
bool majority_satisfies(const std::vector<std::string>& names, Predicate&& predicate) {
    const auto count = std::count_if(names.begin(), names.end(), predicate);
    return static_cast<std::size_t>(count) >= majority_of(names.size());
}

} // namespace persimmonstile
