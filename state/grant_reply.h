#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Grantor to owner: the reply to grant_request. granted is false while the request's version or revision is
// older than the grantor's, and while a restarted grantor recovers. version and revision are the grantor's
// own, so each side learns which is newer. silent_owners lists the entries of the table that sent no request
// for longer than owner_silence_timeout. recorded lists those of the request's new_agents that the grantor
// has on record.
struct grant_reply {
    incarnation grantor;
    std::uint64_t sequence = 0;
    bool granted = false;
    bool recovering = false;
    table_version version = 0;
    config_revision revision = 0;
    std::vector<incarnation> silent_owners;
    std::vector<incarnation> recorded;

    static constexpr auto members() {
        return std::make_tuple(&grant_reply::grantor, &grant_reply::sequence, &grant_reply::granted,
                               &grant_reply::recovering, &grant_reply::version, &grant_reply::revision,
                               &grant_reply::silent_owners, &grant_reply::recorded);
    }
};

} // namespace persimmonstile
