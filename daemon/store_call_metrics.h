#pragma once

#include "state/store_call.h"
#include "state/store_reply.h"
#include "transport/duration_histogram.h"
#include "transport/metric_registry.h"
#include "transport/text_counter_family.h"

#include <chrono>

namespace persimmonstile {

// Counts a daemon's store calls by kind and result and records how long they take.
class store_call_metrics {
public:
    explicit store_call_metrics(metric_registry& registry);

    // Records an answered call. The duration of a watch is not recorded, because a watch waits for a change.
    void record_call(const store_call& call, const store_reply& reply, std::chrono::nanoseconds elapsed);

private:
    text_counter_family calls_{
        "persimmonstile_store_calls_total", "Calls to the store by kind and result.", {"kind", "result"}};
    duration_histogram call_time_{"persimmonstile_store_call_seconds",
                                  "Time from a call to the store to its answer, without watches."};
};

} // namespace persimmonstile
