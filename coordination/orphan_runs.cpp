#include "coordination/orphan_runs.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Delay before a query that the store did not answer is retried.
constexpr milliseconds retry_delay{200};

} // namespace

void orphan_runs::add(agent_number agent, const run_report& report, bool is_shared, time_point now) {
    const auto [found, is_new] = checks_.try_emplace(report.run);
    found->second.run = {agent, report};
    found->second.is_shared = is_shared;
    if (is_new)
        found->second.ask_at = now;
}

std::vector<std::pair<std::uint64_t, job_id>> orphan_runs::take_questions(bool includes_shared,
                                                                          time_point now) {
    std::vector<std::pair<std::uint64_t, job_id>> questions;
    for (auto& [run, pending] : checks_) {
        if (pending.question != 0 || now < pending.ask_at || (pending.is_shared && !includes_shared))
            continue;
        pending.question = ++last_question_;
        questions.emplace_back(pending.question, run.task.job);
    }
    return questions;
}

std::optional<orphan_runs::orphan> orphan_runs::answered(std::uint64_t question, const store_reply& answer,
                                                         time_point now) {
    const auto found = std::find_if(checks_.begin(), checks_.end(),
                                    [&](const auto& entry) { return entry.second.question == question; });
    if (found == checks_.end())
        return std::nullopt;
    const auto* item = std::get_if<item_found>(&answer);
    const auto* status = item != nullptr ? std::get_if<job_status>(&item->item.value) : nullptr;
    if (status == nullptr && !std::holds_alternative<item_missing>(answer)) {
        found->second.question = 0;
        found->second.ask_at = now + retry_delay;
        return std::nullopt;
    }
    const orphan run = found->second.run;
    checks_.erase(found);
    // A run of an open job is claimed by the job's owner.
    if (status != nullptr && !is_final(status->state))
        return std::nullopt;
    return run;
}

} // namespace persimmonstile
