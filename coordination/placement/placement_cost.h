#pragma once

#include "coordination/ledger_task.h"

#include <cstdint>
#include <string_view>

namespace persimmonstile {

// Why an agent does not get a task.
//   none: it does not rule the agent out
//   no_capacity: the task does not fit there, and is not expected to fit soon
//   not_durable: durable runs may not be placed there now
//   wrong_label: the required label is missing
//   too_many_of_step: it has the maximum number of tasks of the step
//   departs: the backend server leaves before the task would end
//   reserved: the capacity is reserved for a larger task that starts before this one would end
enum class placement_rejection : std::uint8_t {
    none,
    no_capacity,
    not_durable,
    wrong_label,
    too_many_of_step,
    departs,
    reserved
};

constexpr std::string_view to_string(placement_rejection reason) {
    switch (reason) {
    case placement_rejection::none:
        return "none";
    case placement_rejection::no_capacity:
        return "no_capacity";
    case placement_rejection::not_durable:
        return "not_durable";
    case placement_rejection::wrong_label:
        return "wrong_label";
    case placement_rejection::too_many_of_step:
        return "too_many_of_step";
    case placement_rejection::departs:
        return "departs";
    case placement_rejection::reserved:
        return "reserved";
    }
    return "none";
}

// Expected time until a task has ended at an agent, in seconds, by its parts.
struct placement_cost {
    // Run time there, with its speed and the distance from the data.
    double run = 0;
    // Until capacity is free there.
    double wait = 0;
    // Expected loss because the capacity may be taken when the run arrives.
    double risk = 0;
    // Messages to and from the agent.
    double overhead = 0;

    double total() const { return run + wait + risk + overhead; }
};

// One agent as a possible place for a task: its cost, or why it is out of the question.
struct placement_candidate {
    agent_number agent = 0;
    placement_rejection rejection = placement_rejection::none;
    placement_cost cost;
    double shortage_probability = 0;
    // The data of the task is on another rack.
    bool is_remote = false;
    // The task does not fit there now. It is expected to fit after cost.wait, according to the agent itself
    // if is_wait_reported.
    bool must_wait = false;
    bool is_wait_reported = false;
};

} // namespace persimmonstile
