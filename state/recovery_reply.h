#pragma once

#include "state/incarnation.h"
#include "state/owner_table.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Grantor to restarted grantor, passed on by an entry: the owner table and the agent incarnations that the
// sender has acknowledged. A grantor that is itself recovering does not reply.
struct recovery_reply {
    incarnation requester;
    std::uint64_t nonce = 0;
    incarnation grantor;
    owner_table table;
    std::vector<incarnation> recorded;

    static constexpr auto members() {
        return std::make_tuple(&recovery_reply::requester, &recovery_reply::nonce, &recovery_reply::grantor,
                               &recovery_reply::table, &recovery_reply::recorded);
    }
};

} // namespace persimmonstile
