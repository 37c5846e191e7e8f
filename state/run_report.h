#pragma once

#include "state/run_ref.h"
#include "state/run_refusal.h"
#include "state/run_state.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// State of one run, as reported by an agent to the run's owner.
struct run_report {
    run_ref run;
    run_state state = run_state::queued;
    run_refusal reason = run_refusal::none;
    // Number under which the backend server lists the end of the run until the agent acknowledges it, and the
    // lifetime of the backend server in which the number is valid. Both are 0 if the end is not listed.
    std::uint64_t end_number = 0;
    std::uint64_t backend_life = 0;
    // The agent does not acknowledge the end before an entry has recorded it.
    bool awaits_record = false;
    // Time from the start to the end, or to this report if the run has not ended.
    std::int64_t run_us = 0;
    // Progress of a running task in percent, 0 to 100.
    std::uint32_t percent = 0;
    // Latest checkpoint of the task; empty for none.
    std::string checkpoint;

    std::chrono::microseconds run_time() const { return std::chrono::microseconds{run_us}; }

    static constexpr auto members() {
        return std::make_tuple(&run_report::run, &run_report::state, &run_report::reason,
                               &run_report::end_number, &run_report::backend_life, &run_report::awaits_record,
                               &run_report::run_us, &run_report::percent, &run_report::checkpoint);
    }
};

} // namespace persimmonstile
