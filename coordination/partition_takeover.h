#pragma once

#include "coordination/ownership_actions.h"
#include "state/ids.h"
#include "state/incarnation.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Takes over the partitions that a table version gives to this entry. The entry may act for them after three
// steps:
// 1. a majority of the grantors acknowledges the version;
// 2. one grant period and the clock rate margin pass, so that every older majority of grants has expired;
// 3. the same incarnations confirm the version and send their records.
// Step 3 shows that no grantor of the majority restarted in between and lost its acknowledgement. The records
// also include agents that the old owner had recorded during the wait.
class partition_takeover {
public:
    // Returns the connected incarnation of the grantor if it acknowledged the version, otherwise nullopt.
    using acknowledged_by = std::function<std::optional<incarnation>(const std::string& grantor)>;

    // A majority of each grantor set is required. Step 2 is skipped if all epochs are 1, because there was no
    // earlier owner.
    partition_takeover(table_version version, std::vector<std::vector<std::string>> grantor_sets,
                       std::map<partition_id, epoch_number> partitions);

    // Records new acknowledgements and returns the grantors to query now for step 3, with nonce().
    std::vector<incarnation> advance(const acknowledged_by& acknowledged, time_point now);
    void add_confirmation(std::uint64_t nonce, const incarnation& grantor, table_version known_version,
                          const std::vector<incarnation>& recorded);
    bool is_complete() const;
    std::vector<partition_gain> gains() const;
    // Union of the records of the grantors that confirmed.
    const std::set<incarnation>& recorded() const { return recorded_agents_; }

    // Drops partitions that have moved to another owner or epoch.
    void retain_partitions(const std::map<partition_id, epoch_number>& current);

    table_version version() const { return version_; }
    const std::map<partition_id, epoch_number>& partitions() const { return partitions_; }
    // Identifies the replies to the queries of step 3. Changes whenever the group of queried grantors
    // changes.
    std::uint64_t nonce() const;

private:
    struct acknowledgement {
        incarnation grantor;
        time_point acknowledged_at;
    };
    using grantor_group = std::map<std::string, incarnation>;

    void record_acknowledgements(const acknowledged_by& acknowledged, time_point now);
    grantor_group ready_grantors(const acknowledged_by& acknowledged, time_point now) const;

    table_version version_;
    std::vector<std::vector<std::string>> grantor_sets_;
    std::map<partition_id, epoch_number> partitions_;
    std::chrono::milliseconds lease_expiry_wait_;
    std::map<std::string, acknowledgement> acknowledgements_;
    grantor_group queried_grantors_;
    std::uint64_t query_round_ = 0;
    std::optional<time_point> queried_at_;
    std::set<std::string> confirmed_grantors_;
    std::set<incarnation> recorded_agents_;
};

} // namespace persimmonstile
