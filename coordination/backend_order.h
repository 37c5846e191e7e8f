#pragma once

#include "state/run_ref.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace persimmonstile {

// The backend server starts a run. A repetition of the same order starts nothing more.
struct start_order {
    run_ref run;
    std::string payload;
    std::string checkpoint;
};

// The backend server ends a run, or will refuse to start it.
struct stop_order {
    run_ref run;
};

// Renews the lease under which everything runs, acknowledges ends, and reads what runs and has ended. With a
// wait the answer comes as soon as something ends.
struct hold_order {
    std::uint64_t acknowledged_end = 0;
    milliseconds wait{0};
    // Whether the lease is renewed.
    bool renews = true;
};

// An order to a backend server with what is common to all of them.
struct backend_order {
    std::uint64_t id = 0;
    // The backend server ignores orders with a lower token than the highest one that it has seen.
    std::uint64_t fencing_token = 0;
    // End of the lease, by the clock of the backend server.
    std::int64_t lease_until_ms = 0;
    // Without an answer after this time the order is in doubt.
    milliseconds timeout{0};
    std::variant<start_order, stop_order, hold_order> action;
};

} // namespace persimmonstile
