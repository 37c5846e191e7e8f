#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace persimmonstile {

// Returns the entries that an agent serves: all of the addresses, or max_entries of them if there are more.
// This keeps the processor of a small entry free for its callers when hundreds of agents report to a few
// dozen entries; a smaller deployment is not restricted. Rendezvous hashing of the agent's name and the
// address spreads agents evenly over the entries without coordination. An entry that joins or leaves changes
// only the subsets that it belongs to.
std::set<std::string> choose_entries(const std::string& agent, const std::set<std::string>& addresses,
                                     std::size_t max_entries);

} // namespace persimmonstile
