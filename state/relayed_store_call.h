#pragma once

#include "state/store_call.h"

#include <chrono>
#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Asks a peer to make a store call on behalf of the sender, which cannot reach the store.
struct relayed_store_call {
    std::uint64_t token = 0;
    // Time for which the peer waits for the store's reply.
    std::int64_t timeout_ms = 0;
    store_call call;

    std::chrono::milliseconds timeout() const { return std::chrono::milliseconds{timeout_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&relayed_store_call::token, &relayed_store_call::timeout_ms,
                               &relayed_store_call::call);
    }
};

} // namespace persimmonstile
