#include "coordination/job_course.h"

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
                runs += static_cast<std::int64_t>(std::max(task.run, job.run_base) - job.run_base);
                failures += task.failures;
            }
        }
    }
    std::vector<std::pair<std::string_view, decision::value>> course{
        {"queue", job.record->queue}, {"total_us", microseconds_between(job.accepted, now)}};
    if (job.first_placed)
        course.emplace_back("placed_us", microseconds_between(job.accepted, *job.first_placed));
    course.emplace_back("tasks", tasks);
    course.emplace_back("done", done);
    course.emplace_back("runs", runs);
    course.emplace_back("failures", failures);
    return course;
}

} // namespace persimmonstile
