#pragma once

#include "state/store_reply.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Reply to the relayed_store_call with the same token.
struct relayed_store_reply {
    std::uint64_t token = 0;
    store_reply reply;

    static constexpr auto members() {
        return std::make_tuple(&relayed_store_reply::token, &relayed_store_reply::reply);
    }
};

} // namespace persimmonstile
