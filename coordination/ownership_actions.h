#pragma once

#include "coordination/partition_gain.h"
#include "state/control_message.h"
#include "state/incarnation.h"
#include "state/owner_table.h"

#include <optional>
#include <vector>

namespace persimmonstile {

// A control message to be sent to a connected agent.
struct outgoing_control_message {
    incarnation to;
    control_message message;
};

// A conditional table write. It takes effect only if the stored value still has modification revision
// expected_mod_revision (0: the key must not exist).
struct table_write {
    owner_table table;
    std::int64_t expected_mod_revision = 0;
};

// Actions that the entry performs after an event, in the order in which the members are declared.
struct ownership_actions {
    std::vector<outgoing_control_message> sends;
    std::vector<partition_gain> gained;
    std::vector<partition_id> lost;
    std::optional<table_write> write;
    bool read_table = false;
    bool table_changed = false;
};

} // namespace persimmonstile
