#pragma once

#include "state/grant_reply.h"
#include "state/grant_request.h"
#include "state/owner_table.h"
#include "state/recovery_reply.h"
#include "state/recovery_request.h"
#include "state/table_ack.h"
#include "state/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// An agent's part in partition ownership. It gives leases to owners, acknowledges owner tables and records
// agent incarnations. It keeps nothing on disk: a restarted grantor recovers from a majority of the others
// before it grants.
class grantor {
public:
    grantor(incarnation self, time_point now);

    // Answers a grant request. The caller sets grant_reply::revision; a request with an older configuration
    // revision than own_revision is refused.
    grant_reply request(const grant_request& request, config_revision own_revision, time_point now);

    // Adopts a newer table and acknowledges the newest one that it knows.
    table_ack push(const owner_table& table, time_point now);

    // The question to send to all connected entries while recovering, at most once a renewal interval.
    std::optional<recovery_request> recovery_due(time_point now);
    // An answer to another grantor; nullopt while this one recovers itself.
    std::optional<recovery_reply> answer(const recovery_request& request) const;
    void recovered(const recovery_reply& reply, time_point now);

    bool is_recovering() const;
    const owner_table& table() const { return table_; }
    // Epoch of the partition in the acknowledged table, 0 if none is known.
    epoch_number epoch_of(partition_id partition) const;

private:
    owner_table table_;
};

} // namespace persimmonstile
