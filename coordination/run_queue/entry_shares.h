#pragma once

#include "state/resources.h"

#include <map>
#include <string>

namespace persimmonstile {

// How the entries share the capacity of a backend server. The fair share of an entry is an equal part of the
// capacity among the entries that have runs there, running or waiting.
class entry_shares {
public:
    explicit entry_shares(const resources& capacity)
        : capacity_{capacity} {}

    // The entry has a run that waits.
    void add_competitor(const std::string& entry) { used_.try_emplace(entry); }
    // A run of the entry uses capacity.
    void add_use(const std::string& entry, const resources& needs) { used_[entry] += needs; }

    // Whether the entry uses less than its share of each resource.
    bool is_below_share(const std::string& entry) const;

private:
    resources capacity_;
    std::map<std::string, resources> used_;
};

} // namespace persimmonstile
