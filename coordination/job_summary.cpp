#include "coordination/job_summary.h"

#include "coordination/ledger_job.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace persimmonstile {

namespace {

std::int64_t microseconds_between(time_point begin, time_point end) {
    return std::chrono::duration_cast<microseconds>(end - begin).count();
}

} // namespace

std::vector<std::pair<std::string_view, decision::value>> summarize_job(const ledger_job& job,
                                                                        time_point now) {
    std::int64_t tasks = 0;
    std::int64_t done = 0;
    std::int64_t runs = 0;
    std::int64_t failures = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const std::vector<ledger_task>& step : occurrence.steps) {
            for (const ledger_task& task : step) {
                ++tasks;
                done += task.phase == task_phase::done ? 1 : 0;
                runs += static_cast<std::int64_t>(std::max(task.run, job.last_predecessor_run) -
                                                  job.last_predecessor_run);
                failures += task.failures;
            }
        }
    }
    std::vector<std::pair<std::string_view, decision::value>> summary{
        {"queue", job.record->queue}, {"total_us", microseconds_between(job.accepted, now)}};
    if (job.first_placed_at)
        summary.emplace_back("placed_us", microseconds_between(job.accepted, *job.first_placed_at));
    summary.emplace_back("tasks", tasks);
    summary.emplace_back("done", done);
    summary.emplace_back("runs", runs);
    summary.emplace_back("failures", failures);
    return summary;
}

} // namespace persimmonstile
