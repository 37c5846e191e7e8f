#pragma once

#include "coordination/store_results.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace persimmonstile {

// A lease in the store and its remaining time to live.
struct store_lease {
    std::int64_t id = 0;
    std::chrono::seconds time_to_live{0};
};

// The lease has expired, and the keys that were attached to it have been deleted.
struct lease_expired {};

using lease_grant_result = std::variant<store_lease, store_unavailable>;
using lease_renewal_result = std::variant<store_lease, lease_expired, store_unavailable>;

} // namespace persimmonstile
