#include "coordination/entry_subset.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace persimmonstile {

namespace {

std::uint64_t rank_of(const std::string& agent, const std::string& address) {
    // The separator occurs in no address, so different pairs have different texts.
    const std::string text = agent + '\n' + address;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::set<std::string> choose_entries(const std::string& agent, const std::set<std::string>& addresses,
                                     std::size_t max_entries) {
    if (addresses.size() <= max_entries)
        return addresses;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(addresses.size());
    for (const std::string& address : addresses)
        ranked.emplace_back(rank_of(agent, address), address);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(max_entries);
    std::nth_element(ranked.begin(), end, ranked.end());
    std::set<std::string> chosen;
    std::transform(ranked.begin(), end, std::inserter(chosen, chosen.end()),
                   [](auto& entry) { return std::move(entry.second); });
    return chosen;
}

} // namespace persimmonstile
