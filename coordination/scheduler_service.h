#pragma once

#include "coordination/fair_queue.h"
#include "coordination/job_size_distribution.h"
#include "coordination/robust_average.h"
#include "coordination/scheduler_backend.h"
#include "coordination/scheduler_task_class.h"
#include "state/service_policy.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// State that the scheduler keeps for a service: its backend servers, waiting tasks and run time statistics.
template <typename policy> struct scheduler_service {
    std::string name;
    policy placement;
    std::vector<scheduler_backend> backends;
    std::vector<std::uint32_t> free_backend_numbers;
    fair_queue queue;
    std::size_t waiting_count = 0;
    std::size_t in_flight = 0;
    // Mean fraction of this entry's capacity that is in use when a job arrives.
    double utilization = 0;
    // Sizes of the admitted jobs.
    job_size_distribution job_sizes;
    // By class number; class 0 is that of jobs.
    std::vector<scheduler_task_class> task_classes{1};
    std::unordered_map<std::string, std::uint8_t> class_by_method;
    // Typical and mean run time in seconds over all classes.
    robust_average typical_run_seconds{256};
    double mean_run_seconds = 0;
    // Number of backend servers that accept tasks, and how many of them are ejected.
    std::size_t serving = 0;
    std::size_t ejected = 0;
    // Tasks of typical run time per second that the backend servers can complete for this entry.
    double rate = 0;
    // The same rate with this entry's part of the slots only.
    double own_slots_rate = 0;
    // Sum of the failure ratios of the serving backend servers that are not ejected.
    double failure_ratio_sum = 0;
    // True if any backend server has ever offered the service.
    bool was_served = false;
};

} // namespace persimmonstile
