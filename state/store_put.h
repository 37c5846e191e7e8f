#pragma once

#include "state/stored_record.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Sets the value of a key. If a lease is given, the store removes the key when the lease ends.
struct store_put {
    std::string key;
    stored_record value;
    // 0 for no lease.
    std::uint64_t lease = 0;

    static constexpr auto members() {
        return std::make_tuple(&store_put::key, &store_put::value, &store_put::lease);
    }
};

} // namespace persimmonstile
