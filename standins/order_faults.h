#pragma once

namespace persimmonstile {

// How a stand-in for a backend server misbehaves.
struct order_faults {
    // Part of the orders that get no answer and are carried out some seconds later.
    double late_orders = 0;
    // Part of the runs that fail at their end.
    double failing = 0;
    // Starts are refused as from an unhealthy backend server.
    bool is_refusing = false;
    // Tasks make no progress.
    bool is_hanging = false;
};

} // namespace persimmonstile
