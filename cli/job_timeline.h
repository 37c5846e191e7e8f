#pragma once

#include "transport/otlp_json.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmonstile {

// What one hop adds to the time of a job.
struct hop_share {
    trace_hop hop = trace_hop::entry;
    std::size_t span_count = 0;
    // Instance that recorded the span on the critical path; empty if there is no such span.
    std::string instance;
    // Duration of the span on the critical path, and the part of it that the next hop does not account for.
    std::chrono::nanoseconds total{0};
    std::chrono::nanoseconds own{0};
};

// One task as its agent and backend call saw it.
struct task_share {
    std::optional<task_index> task;
    std::string agent;
    std::string backend_server;
    std::string outcome;
    // Time at the agent: in all, and before and after the call to the backend server.
    std::chrono::nanoseconds total{0};
    std::chrono::nanoseconds waited{0};
    std::chrono::nanoseconds run{0};
};

// Where the time of one job went. The critical path leads to the task whose agent ended last. Shares are
// differences of durations that one process measured each, so they do not depend on clocks that agree.
struct job_timeline {
    std::string job;
    std::string trace;
    std::string outcome;
    // Calls about this job that entries recorded, including resubmissions and status queries.
    std::size_t call_count = 0;
    // Duration of the outermost span on the critical path.
    std::chrono::nanoseconds total{0};
    // One element for each hop, outermost first.
    std::vector<hop_share> hops;
    // Slowest first.
    std::vector<task_share> tasks;
};

// Nothing if no span names the job.
std::optional<job_timeline> make_job_timeline(const std::string& job,
                                              const std::vector<recorded_span>& spans);

} // namespace persimmonstile
