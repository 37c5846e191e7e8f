#pragma once

#include "coordination/agent_output.h"
#include "coordination/caller_reply.h"
#include "coordination/decision.h"
#include "coordination/entry_timing.h"
#include "state/store_call.h"
#include "state/time.h"
#include "state/work_message.h"

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace persimmonstile {

// A call to the store and its timeout.
struct store_request {
    std::uint64_t id = 0;
    store_call call;
    milliseconds timeout{0};
};

// What an entry sends, replies, logs and measures in response to events.
struct entry_output {
    std::vector<store_request> store_calls;
    std::vector<std::pair<link_number, work_message>> messages;
    std::vector<caller_reply> replies;
    std::vector<decision> decisions;
    // Measured durations, for metrics.
    std::vector<std::pair<entry_timing, std::chrono::nanoseconds>> timings;
};

} // namespace persimmonstile
