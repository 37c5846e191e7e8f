#include "coordination/admission/remaining_work.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace persimmonstile {

namespace {

// Hardly any run is shorter than this fraction of its expected time. Run times have a spread of 0.4 and
// estimates are off by 40%, which together reach 0.5, and the fastest backend servers run 1.7 times as fast.
constexpr double min_run_fraction = 0.3;

// Callers' estimates are up to 40% too low, and an aborted job costs its caller all work done so far.
constexpr double max_estimate_error = 0.4;

double least_remaining_seconds(const ledger_job& job, const ledger_occurrence& occurrence,
                               const run_time_model& times) {
    std::vector<double> step_ends;
    double longest = 0;
    for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
        const job_step& step = job.step(number);
        double end = 0;
        for (const std::uint32_t earlier : step.after) {
            if (earlier < step_ends.size())
                end = std::max(end, step_ends[earlier]);
        }
        // A running task may end at any time.
        const std::vector<ledger_task>& tasks = occurrence.steps[number];
        if (std::any_of(tasks.begin(), tasks.end(),
                        [](const ledger_task& task) { return task.phase == task_phase::waiting; }))
            end += min_run_fraction * times.expected_seconds(job.record->queue, step.estimate());
        step_ends.push_back(end);
        longest = std::max(longest, end);
    }
    return longest;
}

} // namespace

std::chrono::duration<double> least_remaining_time(const ledger_job& job, const run_time_model& times) {
    double longest = 0;
    for (const auto& [number, occurrence] : job.occurrences)
        longest = std::max(longest, least_remaining_seconds(job, occurrence, times));
    return std::chrono::duration<double>{longest};
}

time_point latest_useful_end(const ledger_job& job, const job_target& target) {
    const std::chrono::duration<double> expected = target.useful_until - job.accepted;
    const auto latest = std::chrono::duration_cast<boot_clock::duration>(expected / (1 - max_estimate_error));
    return std::min<time_point>(job.accepted + latest, job.answer_by);
}

double waiting_core_ms(const ledger_job& job, const run_time_model& times) {
    if (job.waiting_tasks == 0)
        return 0;
    double sum = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t index = 0; index < occurrence.steps.size(); ++index) {
            const std::vector<ledger_task>& tasks = occurrence.steps[index];
            const auto waiting = std::count_if(tasks.begin(), tasks.end(), [](const ledger_task& task) {
                return task.phase == task_phase::waiting;
            });
            const job_step& step = job.step(index);
            sum += static_cast<double>(waiting * step.task_needs.cpu_millicores) *
                   times.expected_seconds(job.record->queue, step.estimate());
        }
    }
    return sum;
}

} // namespace persimmonstile
