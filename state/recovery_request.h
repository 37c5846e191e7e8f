#pragma once

#include "state/incarnation.h"

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// A restarted grantor asks the others, through an entry, what they acknowledged. The nonce ties the answers
// to this question, so that an entry cannot answer from an old copy.
struct recovery_request {
    incarnation asker;
    std::uint64_t nonce = 0;

    static constexpr auto members() {
        return std::make_tuple(&recovery_request::asker, &recovery_request::nonce);
    }
};

} // namespace persimmonstile
