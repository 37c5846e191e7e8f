#pragma once

#include "state/store_condition.h"
#include "state/store_put.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace persimmonstile {

// Changes keys in one transaction. If every condition holds, all changes take effect; otherwise none does.
struct store_write {
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> removals;

    static constexpr auto members() {
        return std::make_tuple(&store_write::conditions, &store_write::puts, &store_write::removals);
    }
};

// Reads one key.
struct store_read {
    std::string key;

    static constexpr auto members() { return std::make_tuple(&store_read::key); }
};

// Lists one page of the keys that begin with prefix, in ascending order. The page starts with the first key
// after after_key.
struct store_list {
    std::string prefix;
    std::string after_key;

    static constexpr auto members() { return std::make_tuple(&store_list::prefix, &store_list::after_key); }
};

// Waits up to wait_ms for changes, later than after_revision, to keys that begin with prefix.
struct store_watch {
    std::string prefix;
    std::uint64_t after_revision = 0;
    std::int64_t wait_ms = 0;

    std::chrono::milliseconds wait() const { return std::chrono::milliseconds{wait_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&store_watch::prefix, &store_watch::after_revision, &store_watch::wait_ms);
    }
};

// Creates a lease.
struct lease_open {
    std::int64_t time_to_live_ms = 0;

    std::chrono::milliseconds time_to_live() const { return std::chrono::milliseconds{time_to_live_ms}; }

    static constexpr auto members() { return std::make_tuple(&lease_open::time_to_live_ms); }
};

// Renews a lease for its full time to live.
struct lease_renew {
    std::uint64_t lease = 0;

    static constexpr auto members() { return std::make_tuple(&lease_renew::lease); }
};

// Ends a lease. The store then removes the keys that were set with the lease.
struct lease_close {
    std::uint64_t lease = 0;

    static constexpr auto members() { return std::make_tuple(&lease_close::lease); }
};

// A call to the store, as data. The decision logic returns it as an output, and any process that can reach
// the store may execute it.
using store_call =
    std::variant<store_write, store_read, store_list, store_watch, lease_open, lease_renew, lease_close>;

} // namespace persimmonstile
