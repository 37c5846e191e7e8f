#include "coordination/admission/waiting_order.h"

#include <algorithm>
#include <set>

namespace persimmonstile {

void waiting_order::sort(std::vector<waiting_job>& jobs, time_point now) {
    std::set<std::string> queues;
    for (const waiting_job& next : jobs)
        queues.insert(next.job->record->queue);
    std::erase_if(waiting_since_, [&](const auto& entry) { return !queues.contains(entry.first); });
    std::set<std::string> passed_over;
    for (const std::string& queue : queues) {
        if (now - waiting_since_.try_emplace(queue, now).first->second >= max_queue_wait)
            passed_over.insert(queue);
    }
    std::sort(jobs.begin(), jobs.end(),
              [](const waiting_job& left, const waiting_job& right) { return left.precedes(right); });
    if (passed_over.empty())
        return;
    // The first job of each queue that was passed over, unless its end is of no use to its caller any more.
    std::stable_partition(jobs.begin(), jobs.end(), [&](const waiting_job& next) {
        const bool is_useful = next.value != timeliness::too_late || next.job->is_durable();
        return is_useful && passed_over.erase(next.job->record->queue) > 0;
    });
}

void waiting_order::record_start(const std::string& queue, time_point now) {
    const auto found = waiting_since_.find(queue);
    if (found != waiting_since_.end())
        found->second = now;
}

} // namespace persimmonstile
