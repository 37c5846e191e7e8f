#pragma once

#include "state/grant_reply.h"
#include "state/grant_request.h"
#include "state/owner_table.h"
#include "state/recovery_reply.h"
#include "state/recovery_request.h"
#include "state/table_ack.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// The agent's side of partition ownership: grants leases to owners, acknowledges owner tables and records
// agent incarnations. Nothing is kept on disk; a restarted grantor recovers its state from a majority of the
// grantors before it grants leases again.
class grantor {
public:
    grantor(incarnation self, time_point now);

    // Answers a grant request. The caller sets grant_reply::revision; a request with an older configuration
    // revision than own_revision is refused.
    grant_reply request(const grant_request& request, config_revision own_revision, time_point now);

    // Adopts a newer table and acknowledges the newest known one. By sending a table without grantors, the
    // sender asserts that the store held nothing newer when it was read after this incarnation connected.
    // Only such a table lets a grantor start without recovery.
    table_ack push(const owner_table& table, time_point now);

    // Returns a request to send to all connected entries during recovery, at most once per renewal interval.
    std::optional<recovery_request> take_recovery_request(time_point now);
    // Returns the reply to another grantor or to a new owner; nullopt while this grantor is itself
    // recovering.
    std::optional<recovery_reply> answer(const recovery_request& request) const;
    // Handles another grantor's reply to the request of take_recovery_request.
    void handle_recovery_reply(const recovery_reply& reply, time_point now);

    // True until this grantor may grant leases. An agent that may become a grantor recovers before the table
    // names it.
    bool is_recovering() const { return recovering_; }
    const owner_table& table() const { return table_; }
    // Epoch of the partition in the acknowledged table, 0 if none is known.
    epoch_number epoch_of(partition_id partition) const;

private:
    bool is_named_in_table() const;
    void adopt_table(const owner_table& table, time_point now);
    // Ends the recovery if the first table with grantors directly follows the given one and names this
    // grantor. Precondition: the given table has no grantors.
    void start_without_recovery(const owner_table& table);
    void check_recovery_majority(time_point now);
    void finish_recovery(time_point now);
    void record_request_from(const incarnation& owner, time_point now);
    void record_agent(const incarnation& agent, time_point now);
    void drop_replaced_records(time_point now);
    std::vector<incarnation> recorded_agents() const;
    std::vector<incarnation> silent_owners(time_point now) const;

    incarnation self_;
    owner_table table_;
    bool recovering_ = true;
    // Version of table_ if it was received without grantors during recovery.
    std::optional<table_version> bootstrap_table_version_;
    // Names of the grantors that replied to a recovery request.
    std::set<std::string> recovery_repliers_;
    // Time of the latest recovery request.
    std::optional<time_point> recovery_requested_at_;
    // Set once a majority has replied; one grant period after that.
    std::optional<time_point> recovery_ends_at_;
    // Time from which each owner's silence is measured.
    std::map<incarnation, time_point> last_owner_request_at_;
    time_point last_request_at_;
    // Recorded agent incarnations. The value is the time at which a later record of the same name replaced
    // this one, if any.
    std::map<incarnation, std::optional<time_point>> agent_records_;
};

} // namespace persimmonstile
