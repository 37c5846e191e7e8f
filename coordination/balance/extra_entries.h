#pragma once

#include "state/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace persimmonstile {

// Entries that an agent serves for a limited time because they have requested it, beyond those that it
// chooses itself. Requests for capacity are bounded in number, because each connection adds messages and
// lengthens the interval of the capacity reports to all entries. Requests of entries that have adopted jobs
// are not: their jobs wait for the runs of this agent.
class extra_entries {
public:
    explicit extra_entries(milliseconds duration, std::size_t max_for_capacity)
        : duration_{duration}
        , max_for_capacity_{max_for_capacity} {}

    // An entry has adopted jobs and requests a connection. Returns whether it was not served before.
    bool add_for_adoption(const std::string& address, time_point now);
    // An entry requests a connection for its waiting tasks. Returns whether it was added. Entries that are
    // already served are not renewed, so that an agent that many entries need serves each of them for a time.
    bool add_for_capacity(const std::string& address, time_point now);
    // Returns whether an entry was removed.
    bool remove_expired(time_point now);

    template <typename Set> void insert_into(Set& addresses) const {
        for (const auto* requests : {&for_adoption_, &for_capacity_}) {
            for (const auto& [address, until] : *requests)
                addresses.insert(address);
        }
    }

private:
    milliseconds duration_;
    std::size_t max_for_capacity_;
    // Until when each request holds.
    std::map<std::string, time_point> for_adoption_;
    std::map<std::string, time_point> for_capacity_;
};

} // namespace persimmonstile
