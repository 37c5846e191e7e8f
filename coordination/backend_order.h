#pragma once

#include "state/run_ref.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace persimmonstile {

// Tells the backend server to start a run. Idempotent: a repeated order starts no second run.
struct start_order {
    run_ref run;
    std::string payload;
    std::string checkpoint;
};

// Tells the backend server to stop a run, or to refuse a later order to start it.
struct stop_order {
    run_ref run;
};

// Renews the lease of all runs, acknowledges ends, and reads the lists of running and ended runs. The backend
// server answers when a run ends, or after the wait at the latest.
struct hold_order {
    // The backend server may delete all ends up to this number.
    std::uint64_t acknowledged_end = 0;
    milliseconds wait{0};
    // False to let the lease expire.
    bool renews = true;
};

// An order to a backend server: the fields common to all kinds of orders, and the action.
struct backend_order {
    std::uint64_t id = 0;
    // Id of the backend server that the order is addressed to. Any other one at the same address refuses it.
    std::string backend_id;
    // The backend server refuses orders with a lower token than the highest one that it has seen.
    std::uint64_t fencing_token = 0;
    // End of the lease, by the clock of the backend server.
    std::int64_t lease_until_ms = 0;
    // If no answer arrives within this time, it is unknown whether the order was executed.
    milliseconds timeout{0};
    std::variant<start_order, stop_order, hold_order> action;
};

} // namespace persimmonstile
