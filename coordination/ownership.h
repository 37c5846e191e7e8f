#pragma once

#include "coordination/ownership_actions.h"
#include "state/grant_reply.h"
#include "state/limits.h"
#include "state/table_ack.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// What became of a table write.
enum class table_write_result : std::uint8_t { committed, lost_race, unavailable };

// An entry's part in partition ownership: joining the owner table, holding grants, noticing silent owners,
// takeover and leaving. Deterministic and without I/O; the caller performs the returned actions and reports
// what came of them.
class ownership {
public:
    // self and address are written into the table. minimum_grantors is the number of connected agents that
    // the first entry waits for before it creates the table.
    ownership(incarnation self, std::string address, std::size_t minimum_grantors);

    // The store's table, with its modification revision; nullopt if the key does not exist.
    ownership_actions table_read(const std::optional<owner_table>& table, std::int64_t mod_revision,
                                 time_point now);
    // The store could not be read. Asked again after a backoff.
    ownership_actions table_unavailable(time_point now);
    ownership_actions table_written(table_write_result result, time_point now);

    // A table from a peer. Older versions are ignored.
    ownership_actions table_received(const owner_table& table, time_point now);

    ownership_actions agent_connected(const incarnation& agent, time_point now);
    ownership_actions agent_disconnected(const incarnation& agent, time_point now);
    ownership_actions grant_replied(const grant_reply& reply, time_point now);
    ownership_actions table_acknowledged(const table_ack& ack, time_point now);

    // Sets the configuration revision that grant requests carry.
    void set_revision(config_revision revision);

    // Starts leaving: the partitions go to the other entries. left() is true when the table no longer names
    // this entry, or at once if no other entry could take over.
    ownership_actions leave(time_point now);
    bool left() const;

    // Sends what is due. To be called at least every 50 ms.
    ownership_actions tick(time_point now);

    // Time left until the majority of grants lapses; zero without a majority.
    std::chrono::nanoseconds lease_left(time_point now) const;
    // True if this entry may act for the partition now.
    bool owns(partition_id partition, time_point now) const;
    bool is_recorded(const incarnation& agent) const;
    const owner_table& table() const { return table_; }

private:
    owner_table table_;
};

} // namespace persimmonstile
