#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Restarted grantor to the other grantors, passed on by an entry: report what you have acknowledged. The
// nonce ties the replies to this request, so an entry cannot answer with a copy of an earlier reply.
struct recovery_request {
    incarnation requester;
    std::uint64_t nonce = 0;

    static constexpr auto members() {
        return std::make_tuple(&recovery_request::requester, &recovery_request::nonce);
    }
};

} // namespace persimmonstile
