#pragma once

#include "cli/load_workload.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace persimmonstile {

// How a call ended.
//   complete   the whole answer arrived and fits the call
//   mismatch   an answer arrived that does not fit the call
//   refused    status 429 or 503: the call did not run
//   failed     any other answer
//   no_answer  the connection failed, or the run ended before the answer
enum class call_end : std::uint8_t { complete, mismatch, refused, failed, no_answer };

// Result of one planned call. Times count from the start of the run; the response time counts from the
// planned send time, so that a slow service cannot hide the time that calls wait to be sent.
struct call_result {
    call_end end = call_end::no_answer;
    std::chrono::nanoseconds ended_at{0};
    std::chrono::nanoseconds response{0};
    // Reason of a refusal or failure; description of a mismatch.
    std::string detail;
};

// Counts for the progress line.
struct load_progress {
    std::chrono::seconds elapsed{0};
    std::size_t sent = 0;
    std::size_t open = 0;
    std::size_t complete = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
};

struct load_client_settings {
    std::vector<std::string> entries;
    long connections = 1000;
    // How long the entry waits before it answers that a call has not ended.
    std::chrono::milliseconds wait_per_call{30000};
    // Wait for open calls after the last planned send time.
    std::chrono::seconds drain{60};
    // Called about once a second; may be empty.
    std::function<void(const load_progress&)> on_progress;
};

// Sends every call at its planned time, whatever has been answered by then, to the entries in turn, and
// checks every answer. Returns the results in the order of the calls. Throws std::runtime_error if curl
// cannot start.
std::vector<call_result> run_calls(const workload& load, const std::vector<planned_call>& calls,
                                   const load_client_settings& settings);

} // namespace persimmonstile
