#pragma once

#include "state/store_call.h"

#include <chrono>
#include <cstdint>
#include <tuple>

namespace persimmonstile {

// A process that does not reach the store asks a peer to make the call.
struct relayed_call {
    std::uint64_t token = 0;
    // The peer waits for the store so long.
    std::int64_t timeout_ms = 0;
    store_call call;

    std::chrono::milliseconds timeout() const { return std::chrono::milliseconds{timeout_ms}; }

    static constexpr auto members() {
        return std::make_tuple(&relayed_call::token, &relayed_call::timeout_ms, &relayed_call::call);
    }
};

} // namespace persimmonstile
