#include "coordination/orphan_run_tracker.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Delay before a query that the store did not answer is retried.
constexpr milliseconds retry_delay{200};

} // namespace

void orphan_run_tracker::add(agent_number agent, const run_report& report, time_point now) {
    const auto [found, is_new] = pending_checks_.try_emplace(report.run);
    found->second.run = {agent, report};
    if (is_new)
        found->second.next_query_at = now;
}

std::vector<std::pair<std::uint64_t, job_id>> orphan_run_tracker::take_queries(time_point now) {
    std::vector<std::pair<std::uint64_t, job_id>> queries;
    for (auto& [run, pending] : pending_checks_) {
        if (pending.query_id != 0 || now < pending.next_query_at)
            continue;
        pending.query_id = ++last_query_id_;
        queries.emplace_back(pending.query_id, run.task.job);
    }
    return queries;
}

std::optional<orphan_run_tracker::orphan>
orphan_run_tracker::handle_reply(std::uint64_t query_id, const store_reply& answer, time_point now) {
    const auto found = std::find_if(pending_checks_.begin(), pending_checks_.end(),
                                    [&](const auto& entry) { return entry.second.query_id == query_id; });
    if (found == pending_checks_.end())
        return std::nullopt;
    const auto* item = std::get_if<item_found>(&answer);
    const auto* status = item != nullptr ? std::get_if<job_status>(&item->item.value) : nullptr;
    if (status == nullptr && !std::holds_alternative<item_missing>(answer)) {
        found->second.query_id = 0;
        found->second.next_query_at = now + retry_delay;
        return std::nullopt;
    }
    const orphan run = found->second.run;
    pending_checks_.erase(found);
    // A run of an open job is claimed by the job's owner.
    if (status != nullptr && !is_final(status->state))
        return std::nullopt;
    return run;
}

} // namespace persimmonstile
