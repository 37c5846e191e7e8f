#include "coordination/run_time_model.h"

#include <algorithm>
#include <vector>

namespace persimmonstile {

namespace {

// Run time assumed for a task whose caller gave no estimate.
constexpr double default_run_seconds = 0.2;

// A completion loses value after the objective of its job, and has none after this multiple of the objective.
constexpr int max_useful_multiple = 3;

double seconds_of(milliseconds time) {
    return std::chrono::duration<double>{time}.count();
}

} // namespace

void run_time_model::observe(const std::string& queue, milliseconds estimate,
                             std::chrono::microseconds run_time, double slowness) {
    const double expected = estimate.count() > 0 ? seconds_of(estimate) : default_run_seconds;
    const double measured = std::chrono::duration<double>{run_time}.count();
    if (measured <= 0 || slowness <= 0)
        return;
    run_time_ratios_[queue].observe(measured / slowness / expected, 1.0);
}

double run_time_model::expected_seconds(const std::string& queue, milliseconds estimate) const {
    const double uncorrected_seconds = estimate.count() > 0 ? seconds_of(estimate) : default_run_seconds;
    const auto found = run_time_ratios_.find(queue);
    return found == run_time_ratios_.end() ? uncorrected_seconds
                                           : uncorrected_seconds * found->second.value_or(1.0);
}

job_target run_time_model::target_of(const ledger_job& job, const queue_policy* queue) const {
    std::vector<double> step_ends;
    double longest = 0;
    for (const job_step& step : job.record->plan.steps) {
        double begin = 0;
        for (const std::uint32_t earlier : step.after) {
            if (earlier < step_ends.size())
                begin = std::max(begin, step_ends[earlier]);
        }
        step_ends.push_back(begin + expected_seconds(job.record->queue, step.estimate()));
        longest = std::max(longest, step_ends.back());
    }
    const double max_stretch = queue != nullptr ? queue->max_stretch : 1.0;
    const milliseconds slack = queue != nullptr ? queue->slack : milliseconds{0};
    const auto objective = std::chrono::duration_cast<boot_clock::duration>(
                               std::chrono::duration<double>{max_stretch * longest}) +
                           slack;
    job_target target;
    target.chain_duration = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>{longest});
    target.in_time = job.accepted + objective;
    target.useful_until = std::min<time_point>(job.accepted + max_useful_multiple * objective, job.answer_by);
    return target;
}

} // namespace persimmonstile
