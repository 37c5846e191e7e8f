#pragma once

#include "protocol/traceparent.h"
#include "state/ids.h"
#include "state/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// The places a job passes through. Each records one span:
//   entry         one for each call, at the entry that received it: from its arrival to its answer
//   owner         one for each job, at the owner entry: from acceptance to outcome
//   agent         one for each task: from the arrival of the dispatch to the report
//   backend_call  one for each task: the request to the backend server
enum class trace_hop : std::uint8_t { entry, owner, agent, backend_call };

constexpr std::string_view to_string(trace_hop hop) {
    switch (hop) {
    case trace_hop::entry:
        return "entry";
    case trace_hop::owner:
        return "owner";
    case trace_hop::agent:
        return "agent";
    case trace_hop::backend_call:
        return "backend_call";
    }
    return "entry";
}

// One span. The tracer fills the first part; the rest is what the caller knows, empty where it knows nothing.
struct trace_span {
    // Trace and the span's own id. Passed on as the parent of the next hop.
    trace_context context;
    // All zero for the first span of a trace.
    span_id parent{};
    trace_hop hop = trace_hop::entry;
    wall_time start{};
    // Start on the monotonic clock, from which the duration is measured.
    time_point started{};
    std::chrono::nanoseconds duration{0};

    job_id job;
    std::optional<task_index> task;
    std::string service;
    std::string team;
    // The process at the other end: agent name, backend server URL.
    std::string peer;
    // Job outcome or task status.
    std::string outcome;
    bool failed = false;
};

} // namespace persimmonstile
