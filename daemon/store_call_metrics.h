#pragma once

#include "state/store_call.h"
#include "state/store_reply.h"
#include "transport/duration_histogram.h"
#include "transport/metric_registry.h"
#include "transport/text_counter_family.h"

#include <chrono>

namespace persimmonstile {

// What a daemon's calls to the store came to.
class store_call_metrics {
public:
    explicit store_call_metrics(metric_registry& registry);

    // Watches wait for a change, so their time is not recorded.
    void answered(const store_call& call, const store_reply& reply, std::chrono::nanoseconds elapsed);

private:
    text_counter_family calls_{
        "persimmonstile_store_calls_total", "Calls to the store by kind and result.", {"kind", "result"}};
    duration_histogram time_{"persimmonstile_store_call_seconds",
                             "Time from a call to the store to its answer, without watches."};
};

} // namespace persimmonstile
