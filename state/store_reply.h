#pragma once

#include "state/store_item.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace persimmonstile {

// The write took effect at this revision.
struct write_applied {
    std::uint64_t revision = 0;

    static constexpr auto members() { return std::make_tuple(&write_applied::revision); }
};

// A condition did not hold, so nothing was written. items holds the current state of every key that has a
// condition.
struct write_conflict {
    std::vector<store_item> items;

    static constexpr auto members() { return std::make_tuple(&write_conflict::items); }
};

// The store refuses the write as malformed or too large. It would refuse the same write again.
struct write_rejected {
    std::string detail;

    static constexpr auto members() { return std::make_tuple(&write_rejected::detail); }
};

// The key that was read exists.
struct item_found {
    store_item item;

    static constexpr auto members() { return std::make_tuple(&item_found::item); }
};

// The key that was read does not exist.
struct item_missing {
    static constexpr auto members() { return std::make_tuple(); }
};

// One page of a listing. The pages together are not a snapshot: changes made after revision may be missing.
struct item_listing {
    std::vector<store_item> items;
    bool has_more = false;
    std::uint64_t revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&item_listing::items, &item_listing::has_more, &item_listing::revision);
    }
};

// Changes to watched keys, in the order in which they were made. A deleted key is an item without a value and
// with revision 0.
struct item_changes {
    std::vector<store_item> items;
    std::uint64_t revision = 0;

    static constexpr auto members() { return std::make_tuple(&item_changes::items, &item_changes::revision); }
};

// The store no longer has all changes after the revision that the watch gave.
struct history_lost {
    static constexpr auto members() { return std::make_tuple(); }
};

// The lease was created or renewed.
struct lease_valid {
    std::uint64_t lease = 0;
    std::int64_t time_to_live_ms = 0;

    static constexpr auto members() {
        return std::make_tuple(&lease_valid::lease, &lease_valid::time_to_live_ms);
    }
};

// The lease that was to be renewed, or that a write used, has ended.
struct lease_missing {
    static constexpr auto members() { return std::make_tuple(); }
};

// The call failed or got no usable reply.
struct store_failure {
    std::string detail;
    // The store may have executed the call, or may still execute it.
    bool may_have_applied = false;

    static constexpr auto members() {
        return std::make_tuple(&store_failure::detail, &store_failure::may_have_applied);
    }
};

// Reply to a store_call.
using store_reply =
    std::variant<store_failure, write_applied, write_conflict, item_found, item_missing, item_listing,
                 item_changes, history_lost, lease_valid, lease_missing, write_rejected>;

} // namespace persimmonstile
