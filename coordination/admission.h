#pragma once

#include "state/fleet_view.h"
#include "state/job_outcome.h"
#include "state/job_spec.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace persimmonstile {

// Whether any backend server of a service accepts tasks, as far as this entry knows.
// serving        at least one does
// none_left      there was one before, but none accepts tasks now
// not_yet_known  no agent has offered the service since this entry started
enum class service_availability : std::uint8_t { serving, none_left, not_yet_known };

// Load of a service when a job arrives. Times are in seconds, rates in tasks per second of this entry.
struct admission_load {
    // Waiting tasks of all teams.
    std::size_t service_waiting_tasks = 0;
    // Waiting tasks of the job's team.
    std::size_t team_waiting_tasks = 0;
    // Expected number of the team's waiting tasks that run before the job.
    double team_tasks_ahead = 0;
    // Tasks of mean run time that this entry can complete per second.
    double rate = 0;
    // Minimum fraction of the rate that the team gets while all teams with waiting jobs compete.
    double team_fraction = 1;
    // Maximum rate of the team because of max_running; 0 if there is no limit.
    double team_rate_limit = 0;
    // Fraction of the rate that smaller jobs use.
    double smaller_job_fraction = 0;
    // Smaller jobs that arrive within this multiple of the time that the job takes alone may overtake it.
    double max_overtaking_factor = 0;
    // Mean run time of tasks of the job's class; 0 while there are too few samples.
    double run_seconds = 0;
    // True if several teams exist, so that one team must not use the whole queue.
    bool shares_queue = false;
};

// Refuses a job that can never run, or for which no backend server is available at present.
std::optional<job_failed> check_runnable(const fleet_view* fleet, const job_spec& spec,
                                         service_availability availability);

// Refuses a job that exceeds the free capacity of the queue or the team's part of it.
std::optional<job_failed> check_queue(const admission_load& load, std::uint32_t queue_limit,
                                      std::size_t tasks);

// Upper bound on the time until the last task of the job starts, in seconds, if no later job overtakes it.
double wait_without_overtaking(const admission_load& load, std::size_t tasks);

// Refuses a job that is not expected to end within the time left.
std::optional<job_failed> check_deadline(const admission_load& load, std::size_t tasks,
                                         std::chrono::nanoseconds time_left);

} // namespace persimmonstile
