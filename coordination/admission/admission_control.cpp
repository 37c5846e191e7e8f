#include "coordination/admission/admission_control.h"

#include "coordination/admission/remaining_work.h"
#include "coordination/find_queue.h"
#include "coordination/run_planner.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace persimmonstile {

namespace {

// Capacity of an agent that has sent nothing for this long counts as 0. Three times the longest interval of
// reports to ten entries, so that one late report does not count as silence.
constexpr milliseconds max_report_age{300};

// Interval at which a queue gets a job admitted against the forecast. At the longest one, a wrong forecast
// costs a queue all but two jobs a second, until the interval has shrunk because these ended in time.
constexpr milliseconds max_probe_interval{500};
constexpr milliseconds min_probe_interval{30};

bool is_reporting(const agent_view& agent, time_point now) {
    return agent.link != 0 && agent.is_introduced && now - agent.last_reading_at <= max_report_age;
}

bool has_label(const agent_view& agent, const std::string& label) {
    const std::vector<std::string>& labels = agent.profile.backend.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Work of the other waiting jobs of the service that gets capacity before the job.
work_ahead measure_work_ahead(const waiting_job& job, job_ledger& ledger, const run_time_model& times,
                              const deployment_config& config, time_point now) {
    work_ahead ahead;
    for (auto& [id, other] : ledger.jobs()) {
        if (&other == job.job || other.phase != job_phase::open || other.waiting_tasks == 0 ||
            other.record->service != job.job->record->service)
            continue;
        const queue_policy* queue = find_queue_by_name(config, other.record->queue);
        const waiting_job rival = make_waiting_job(other, times.target_of(other, queue), queue, now);
        if (rival.value == timeliness::too_late)
            continue;
        const double work = waiting_core_ms(other, times);
        // Late jobs of the same priority have waited longer. If a new job passed them, they would become
        // useless in its place, so they count as ahead of it.
        if (rival.precedes(job) || rival.priority <= job.priority)
            ahead.while_in_time += work;
        if (rival.class_in_order() == timeliness::in_time || rival.priority <= job.priority)
            ahead.while_late += work;
    }
    return ahead;
}

} // namespace

void admission_control::observe(const agent_directory& agents, job_ledger& ledger, time_point now) {
    std::map<std::string, std::pair<double, std::size_t>> held;
    for (const auto& [number, agent] : agents.all()) {
        if (!is_reporting(agent, now))
            continue;
        auto& [millicores, runs] = held[agent.profile.backend.service];
        for (const auto& [run, start] : agent.runs) {
            ledger_job* job = ledger.find(run.task.job);
            const ledger_task* task = job != nullptr ? job_ledger::find_task(*job, run.task) : nullptr;
            if (task == nullptr || task->phase != task_phase::running || task->run != run.run)
                continue;
            millicores += static_cast<double>(job->step(run.task.step).task_needs.cpu_millicores);
            ++runs;
        }
    }
    for (auto& [service, forecast] : forecasts_)
        held.try_emplace(service);
    for (const auto& [service, amount] : held)
        forecasts_[service].observe_held(amount.first, amount.second, now);
}

void admission_control::observe_run(const ledger_job& job, const job_step& step, double expected_seconds,
                                    double measured_seconds) {
    const auto millicores = static_cast<double>(step.task_needs.cpu_millicores);
    forecasts_[job.record->service].observe_run(millicores * expected_seconds, millicores * measured_seconds);
}

admission_verdict admission_control::decide(ledger_job& job, const agent_directory& agents,
                                            job_ledger& ledger, const run_time_model& times,
                                            const deployment_config& config, time_point now) {
    const std::string& service = job.record->service;
    capacity_forecast& forecast = forecasts_[service];
    bool fits = false;
    bool is_any_reporting = false;
    bool needs_label = false;
    for (const job_step& step : job.record->plan.steps)
        needs_label = needs_label || !step.required_label.empty();
    for (const auto& entry : agents.all()) {
        const agent_view& agent = entry.second;
        if (fits || !run_planner::is_usable(agent, service, config, now) || !is_reporting(agent, now))
            continue;
        is_any_reporting = true;
        job_ledger::for_each_placeable_task(job, [&](const task_ref&, const job_step& step,
                                                     const ledger_task&) {
            fits = fits || (has_label(agent, step.required_label) && step.task_needs.fits_in(agent.free()));
        });
    }
    admission_verdict verdict;
    const queue_policy* queue = find_queue_by_name(config, job.record->queue);
    // The rate at which the entry's runs work says nothing about the few backend servers with a label.
    if (!fits && is_any_reporting && !needs_label) {
        const waiting_job waiting = make_waiting_job(job, times.target_of(job, queue), queue, now);
        const end_forecast end =
            forecast.predict(times.target_of(job, queue), waiting.priority,
                             measure_work_ahead(waiting, ledger, times, config, now), now);
        verdict.end = end.end;
        verdict.is_admitted = end.end == predicted_end::unknown || end.end == predicted_end::useful;
        if (!verdict.is_admitted && should_probe(job, now)) {
            verdict.is_admitted = true;
            verdict.is_against_forecast = true;
        }
        if (!verdict.is_admitted)
            verdict.retry_after = jittered_seconds(end.retry_in);
    }
    if (verdict.is_admitted)
        forecast.record_arrival(queue != nullptr ? queue->priority : 0, waiting_core_ms(job, times), now);
    return verdict;
}

bool admission_control::should_probe(const ledger_job& job, time_point now) {
    probe_state& probe =
        probes_.try_emplace(job.record->queue, probe_state{{}, max_probe_interval}).first->second;
    if (now - probe.admitted_at < probe.interval)
        return false;
    probe.admitted_at = now;
    probing_jobs_[job.id] = job.record->queue;
    return true;
}

void admission_control::record_end(const job_id& job, bool is_useful) {
    const auto found = probing_jobs_.find(job);
    if (found == probing_jobs_.end())
        return;
    milliseconds& interval = probes_[found->second].interval;
    interval = std::clamp(is_useful ? interval / 2 : interval * 2, min_probe_interval, max_probe_interval);
    probing_jobs_.erase(found);
}

// Spreads the retries over as long again as the delay, at least a second. Callers get whole seconds, rounded
// up.
milliseconds admission_control::jittered_seconds(milliseconds delay) {
    const auto least = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(delay).count());
    std::uniform_int_distribution<std::int64_t> seconds{least, 2 * least};
    return std::chrono::seconds{seconds(random_)};
}

} // namespace persimmonstile
