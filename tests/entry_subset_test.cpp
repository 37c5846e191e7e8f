#include "coordination/entry_subset.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr std::size_t max_entries = 10;

std::string agent_name(int index) {
    return "side-zone-" + std::to_string(index);
}

std::set<std::string> entry_addresses(int count) {
    std::set<std::string> addresses;
    for (int i = 0; i < count; ++i)
        addresses.insert("10." + std::to_string(i % 5) + ".0." + std::to_string(i) + ":7720");
    return addresses;
}

// Number of agents that serve each entry.
std::map<std::string, int> agents_by_entry(int agents, const std::set<std::string>& addresses) {
    std::map<std::string, int> counts;
    for (const std::string& address : addresses)
        counts[address] = 0;
    for (int i = 0; i < agents; ++i) {
        for (const std::string& address : choose_entries(agent_name(i), addresses, max_entries))
            ++counts[address];
    }
    return counts;
}

// Guards against small deployments in which an entry cannot use every agent.
TEST(entry_subset, few_entries_are_all_served) {
    EXPECT_EQ(choose_entries("agent", entry_addresses(3), max_entries), entry_addresses(3));
    EXPECT_EQ(choose_entries("agent", entry_addresses(10), max_entries), entry_addresses(10));
    EXPECT_TRUE(choose_entries("agent", {}, max_entries).empty());
}

// Guards against agents whose number of connections grows with the fleet.
TEST(entry_subset, an_agent_serves_a_bounded_number_of_entries) {
    for (const int entries : {11, 55, 500})
        EXPECT_EQ(choose_entries("agent", entry_addresses(entries), max_entries).size(), max_entries);
}

// Guards against entries that see too few agents, or so many that their messages use up a small processor.
// The bound is half and twice the mean.
TEST(entry_subset, agents_are_spread_over_the_entries) {
    for (const auto& [entries, agents] : {std::pair{13, 59}, std::pair{55, 240}, std::pair{200, 1000}}) {
        const double mean = static_cast<double>(max_entries) * agents / entries;
        for (const auto& [entry, count] : agents_by_entry(agents, entry_addresses(entries))) {
            EXPECT_GE(count, mean / 2) << entry << " of " << entries;
            EXPECT_LE(count, mean * 2) << entry << " of " << entries;
        }
    }
}

// Guards against a start or a loss of one entry that moves the connections of all agents.
TEST(entry_subset, one_entry_changes_at_most_one_place_of_an_agent) {
    const std::set<std::string> all = entry_addresses(55);
    for (int i = 0; i < 240; ++i) {
        std::set<std::string> without = all;
        const std::string lost = *std::next(all.begin(), i % 55);
        without.erase(lost);
        const std::set<std::string> before = choose_entries(agent_name(i), all, max_entries);
        const std::set<std::string> after = choose_entries(agent_name(i), without, max_entries);
        std::vector<std::string> left;
        std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(left));
        EXPECT_EQ(left, before.contains(lost) ? std::vector<std::string>{lost} : std::vector<std::string>{});
    }
}

// Guards against agents that no entry reaches after the users' largest loss: half of the entries or one of
// five zones.
TEST(entry_subset, every_agent_keeps_an_entry_when_half_of_them_are_lost) {
    const std::set<std::string> all = entry_addresses(55);
    for (int i = 0; i < 240; ++i) {
        const std::set<std::string> served = choose_entries(agent_name(i), all, max_entries);
        const auto in_first_half = std::count_if(served.begin(), served.end(), [&](const auto& address) {
            return std::distance(all.begin(), all.find(address)) < 28;
        });
        EXPECT_GT(in_first_half, 0) << agent_name(i);
        EXPECT_LT(in_first_half, static_cast<std::ptrdiff_t>(max_entries)) << agent_name(i);
    }
}

} // namespace
} // namespace persimmonstile
