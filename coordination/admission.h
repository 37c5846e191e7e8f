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

// What is known of the backend servers of a job's service.
enum class service_presence : std::uint8_t { serving, none_left, not_yet_known };

// Load of a service as one job finds it. Times in seconds, rates in tasks per second for this entry.
struct admission_load {
    // Waiting tasks of the service, of the job's team, and of those the ones that go before the job.
    std::size_t service_waiting = 0;
    std::size_t team_waiting = 0;
    double team_ahead = 0;
    double rate = 0;
    // Part of the rate that the team gets at least while all teams with waiting jobs compete.
    double team_part = 1;
    // Bound on the team's rate through max_running, 0 if none.
    double team_rate_limit = 0;
    // Part of the rate that smaller jobs take up, and for how long they may pass the job, as a multiple of
    // the time that it takes alone.
    double smaller_load = 0;
    double passing_time = 0;
    // Mean run time of tasks like those of the job; 0 while there are too few samples to judge.
    double run_seconds = 0;
    // Several teams exist, so one must not take the whole queue.
    bool shares_queue = false;
};

// Refuses a job that can never run, or not until an agent appears.
std::optional<job_failed> check_runnable(const fleet_view* fleet, const job_spec& spec,
                                         service_presence presence);

// Refuses a job for which the queue has no room.
std::optional<job_failed> check_queue(const admission_load& load, std::uint32_t queue_limit,
                                      std::size_t tasks);

// Upper bound on the time until the last task of the job starts, in seconds, if no later job goes first.
double wait_without_passing(const admission_load& load, std::size_t tasks);

// Refuses a job that is not expected to end within the time left.
std::optional<job_failed> check_deadline(const admission_load& load, std::size_t tasks,
                                         std::chrono::nanoseconds time_left);

} // namespace persimmonstile
