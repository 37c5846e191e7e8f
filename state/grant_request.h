#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <cstdint>
#include <tuple>
#include <vector>

namespace persimmonstile {

// Owner to grantor, every grant_renewal_interval: renew the grant.
struct grant_request {
    incarnation owner;
    table_version version = 0;
    config_revision revision = 0;
    std::uint64_t sequence = 0;
    // Agent incarnations that the grantor is asked to record.
    std::vector<incarnation> new_agents;

    static constexpr auto members() {
        return std::make_tuple(&grant_request::owner, &grant_request::version, &grant_request::revision,
                               &grant_request::sequence, &grant_request::new_agents);
    }
};

} // namespace persimmonstile
