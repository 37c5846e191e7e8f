#pragma once

#include "coordination/admission/capacity_forecast.h"
#include "coordination/admission/waiting_job.h"
#include "coordination/agent_directory.h"
#include "coordination/job_ledger.h"
#include "coordination/run_time_model.h"
#include "state/deployment_config.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

namespace persimmonstile {

// The decision about one arriving job, with its reason.
struct admission_verdict {
    bool is_admitted = true;
    // Admitted although the forecast says that it ends too late.
    bool is_against_forecast = false;
    predicted_end end = predicted_end::unknown;
    // Whole seconds after which a refused caller should retry, at least 1.
    milliseconds retry_after{0};
};

// Decides on the arrival of a non-durable job whether it can end while it is of use to its caller. What it
// knows comes from the agents' reports and the entry's own runs, and is lost with the process. A job that
// fits somewhere, or about which too little is known, is admitted.
class admission_control {
public:
    explicit admission_control(std::uint64_t seed)
        : random_{seed} {}

    // Updates the capacity that the entry's runs hold. Agents that have been silent count as without any.
    void observe(const agent_directory& agents, job_ledger& ledger, time_point now);
    // A run of the task has ended with success.
    void observe_run(const ledger_job& job, const job_step& step, double expected_seconds,
                     double measured_seconds);
    // The job must be in the ledger and none of its tasks placed.
    admission_verdict decide(ledger_job& job, const agent_directory& agents, job_ledger& ledger,
                             const run_time_model& times, const deployment_config& config, time_point now);
    // The job has left the ledger; is_useful says whether it was completed while its end was of use.
    void record_end(const job_id& job, bool is_useful);

private:
    // Admissions against the forecast, by queue.
    struct probe_state {
        time_point admitted_at{};
        milliseconds interval{0};
    };

    bool should_probe(const ledger_job& job, time_point now);
    milliseconds jittered_seconds(milliseconds delay);

    std::mt19937_64 random_;
    std::map<std::string, capacity_forecast> forecasts_;
    std::map<std::string, probe_state> probes_;
    // Queue of each job in progress that was admitted against the forecast.
    std::unordered_map<job_id, std::string> probing_jobs_;
};

} // namespace persimmonstile
