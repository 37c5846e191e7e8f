#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Grantor to owner: the reply to the grant_request with the same sequence.
struct grant_reply {
    incarnation grantor;
    std::uint64_t sequence = 0;
    // False while the request's version or revision is older than the grantor's, and while the grantor is
    // recovering.
    bool granted = false;
    // The grantor has restarted and does not know yet what it acknowledged before.
    bool is_recovering = false;
    // The grantor's own version and revision, so that each side learns which is newer.
    table_version version = 0;
    config_revision revision = 0;
    // Entries of the owner table that sent no request for longer than owner_silence_timeout.
    std::vector<incarnation> silent_owners;
    // Those of the request's new_agents that the grantor has on record.
    std::vector<incarnation> recorded;

    static constexpr auto members() {
        return std::make_tuple(&grant_reply::grantor, &grant_reply::sequence, &grant_reply::granted,
                               &grant_reply::is_recovering, &grant_reply::version, &grant_reply::revision,
                               &grant_reply::silent_owners, &grant_reply::recorded);
    }
};

} // namespace persimmonstile
