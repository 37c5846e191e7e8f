#include "coordination/table_change.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace persimmonstile {

namespace {

using load_map = std::map<incarnation, std::size_t>;

void move_partition(partition_owner& partition, const incarnation& owner) {
    partition.owner = owner;
    ++partition.epoch;
}

load_map count_loads(const owner_table& table) {
    load_map loads;
    for (const entry_address& entry : table.entries)
        loads[entry.entry] = 0;
    for (const partition_owner& partition : table.partitions) {
        const auto found = loads.find(partition.owner);
        if (found != loads.end())
            ++found->second;
    }
    return loads;
}

bool has_less_load(const load_map::value_type& left, const load_map::value_type& right) {
    return left.second < right.second;
}

void assign_unowned_partitions(owner_table& table, load_map& loads) {
    for (partition_owner& partition : table.partitions) {
        if (loads.contains(partition.owner))
            continue;
        const auto target = std::min_element(loads.begin(), loads.end(), has_less_load);
        move_partition(partition, target->first);
        ++target->second;
    }
}

// Moves partitions of the entries that own the most to the joined entry until it has its fair share. Loads
// are numbers of partitions. Each move raises the epoch of the partition.
void assign_fair_share(owner_table& table, load_map& loads, const incarnation& joined) {
    const std::size_t fair_share = table.partitions.size() / loads.size();
    std::size_t& own = loads[joined];
    while (own < fair_share) {
        const auto source = std::max_element(loads.begin(), loads.end(), has_less_load);
        const auto partition =
            std::find_if(table.partitions.begin(), table.partitions.end(),
                         [&](const partition_owner& p) { return p.owner == source->first; });
        move_partition(*partition, joined);
        --source->second;
        ++own;
    }
}

} // namespace

owner_table with_entries_changed(const owner_table& base, const entry_change& change) {
    owner_table table = base;
    ++table.version;
    std::erase_if(table.entries, [&](const entry_address& e) { return change.removed.contains(e.entry); });
    if (change.joined)
        table.entries.push_back(*change.joined);
    load_map loads = count_loads(table);
    assign_unowned_partitions(table, loads);
    if (change.joined)
        assign_fair_share(table, loads, change.joined->entry);
    return table;
}

owner_table with_grantor_added(const owner_table& base, const std::string& name) {
    owner_table table = base;
    ++table.version;
    table.grantors.push_back(name);
    return table;
}

owner_table with_grantor_removed(const owner_table& base, const std::string& name) {
    owner_table table = base;
    ++table.version;
    std::erase(table.grantors, name);
    return table;
}

owner_table first_table(const owner_table& base, const entry_address& creator,
                        const std::vector<std::string>& grantors) {
    owner_table table = base;
    ++table.version;
    table.entries = {creator};
    table.grantors = grantors;
    table.partitions.resize(partition_count);
    for (partition_owner& partition : table.partitions)
        move_partition(partition, creator.entry);
    return table;
}

} // namespace persimmonstile
