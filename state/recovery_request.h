#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// A restarted grantor asks the other grantors, through an entry, what they acknowledged. The nonce ties the
// replies to this request, so an entry cannot reply with an old copy.
struct recovery_request {
    incarnation requester;
    std::uint64_t nonce = 0;

    static constexpr auto members() {
        return std::make_tuple(&recovery_request::requester, &recovery_request::nonce);
    }
};

} // namespace persimmonstile
