#include "coordination/admission/remaining_work.h"
#include "coordination/admission/run_certainty.h"
#include "coordination/entry_core.h"
#include "coordination/find_queue.h"
#include "coordination/job_summary.h"

#include <utility>

namespace persimmonstile {

bool entry_core::admit(ledger_job& job, caller_token token, time_point now) {
    const admission_verdict verdict =
        admission_.decide(job, agents_, ledger_, run_time_model_, *config_, now);
    if (!verdict.is_admitted || verdict.is_against_forecast) {
        const bool is_shrinking = verdict.end == predicted_end::too_late;
        const std::string reason = is_shrinking ? "cannot end in time" : "queue does not shrink";
        std::vector<std::pair<std::string_view, decision::value>> inputs{
            {"queue", job.record->queue},
            {"tasks", static_cast<std::int64_t>(job.waiting_tasks)},
            {"reason", reason}};
        if (!verdict.is_admitted)
            inputs.emplace_back("retry_after_ms", verdict.retry_after.count());
        std::string_view what = "admitted a job against the forecast";
        if (!verdict.is_admitted)
            what = is_shrinking ? "refused a job on arrival, cannot end in time"
                                : "refused a job on arrival, queue does not shrink";
        record_decision(what, job.id, std::move(inputs), !verdict.is_admitted);
    }
    if (verdict.is_admitted)
        return true;
    output_.replies.push_back({token, caller_reply_kind::refused, job_state::unknown,
                               submit_refusal::overloaded, verdict.retry_after});
    // The job is waiting until it is erased, so its tasks count as a demand for agents of other entries.
    if (limits_.borrows_agents)
        request_agents(now);
    const job_id id = job.id;
    ledger_.erase(id);
    return false;
}

bool entry_core::is_useful_at(const ledger_job& job, time_point now) const {
    const queue_policy* queue = config_ ? find_queue_by_name(*config_, job.record->queue) : nullptr;
    return now <= run_time_model_.target_of(job, queue).useful_until;
}

void entry_core::end_useless_jobs(time_point now) {
    if (!config_)
        return;
    std::vector<job_id> useless;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_durable() || job.phase != job_phase::open || job.record->plan.repeat_count > 0)
            continue;
        const job_target target =
            run_time_model_.target_of(job, find_queue_by_name(*config_, job.record->queue));
        const time_point useful_until =
            has_certainly_not_run(job) ? target.useful_until : latest_useful_end(job, target);
        if (now + least_remaining_time(job, run_time_model_) > useful_until)
            useless.push_back(id);
    }
    for (const job_id& id : useless) {
        ledger_job& job = *ledger_.find(id);
        if (has_certainly_not_run(job))
            refuse_not_run_job(job, "cannot end in time", now);
        else
            abort_job(id, now);
    }
}

// Answers the callers that the outcome is not known, and stops the runs. Their capacity serves other jobs.
void entry_core::abort_job(const job_id& id, time_point now) {
    ledger_job& job = *ledger_.find(id);
    record_decision("aborted a job that can no longer end in time", id, summarize_job(job, now), true);
    stop_runs_of(job);
    acknowledge_all(job);
    admission_.record_end(id, false);
    ledger_.erase(id);
    for (const waiting_caller& caller : end_waiters_.take(id))
        reply(caller.token, caller_reply_kind::uncertain);
    is_plan_needed_ = true;
}

} // namespace persimmonstile
