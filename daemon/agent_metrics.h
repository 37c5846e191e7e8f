#pragma once

#include "coordination/backend_reply.h"
#include "daemon/store_call_metrics.h"
#include "state/run_state.h"
#include "transport/duration_histogram.h"
#include "transport/gauge.h"
#include "transport/metric_registry.h"
#include "transport/text_counter_family.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace persimmonstile {

class agent_core;

// Metrics of an agent in a deployment with durable jobs.
class agent_metrics {
public:
    agent_metrics();

    // The body of GET /metrics.
    std::string prometheus_text() const { return registry_.prometheus_text(); }

    void record_decision(std::string_view what) { decisions_.add({what}); }
    // Records the result of an order. kind is the index of its alternative in backend_order::action.
    void record_order(std::size_t kind, backend_verdict verdict, std::chrono::nanoseconds elapsed);
    void record_run_end(run_state state) { run_ends_.add({to_string(state)}); }
    store_call_metrics& store_calls() { return store_calls_; }
    // Sets the gauges to the present state of the agent.
    void update_gauges(const agent_core& core);

private:
    metric_registry registry_;
    text_counter_family decisions_{
        "persimmonstile_decisions_total", "Decisions, also those that the log leaves out.", {"decision"}};
    text_counter_family orders_{"persimmonstile_backend_orders_total",
                                "Orders to the backend server by kind and result.",
                                {"kind", "result"}};
    text_counter_family run_ends_{"persimmonstile_run_ends_total", "Ended runs by state.", {"state"}};
    duration_histogram start_order_time_{"persimmonstile_start_order_seconds",
                                         "Time from a start order to the backend server's answer."};
    gauge active_runs_{"persimmonstile_active_runs", "Runs that take room on the backend server."};
    gauge queued_runs_{"persimmonstile_queued_runs", "Runs that wait for room on the backend server."};
    gauge connected_entries_{"persimmonstile_entries_connected", "Connected entries."};
    gauge fencing_token_{"persimmonstile_fencing_token",
                         "Fencing token of the orders to the backend server."};
    gauge backend_life_{"persimmonstile_backend_life", "Life of the backend server; 0 while none is known."};
    store_call_metrics store_calls_;
};

} // namespace persimmonstile
