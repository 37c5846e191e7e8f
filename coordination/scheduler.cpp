#include "coordination/scheduler.h"

#include "coordination/placement_credits.h"
#include "coordination/placement_random.h"
#include "coordination/placement_two_choices.h"

#include <algorithm>
#include <cmath>

namespace persimmonstile {

namespace {

// Tasks that an agent gets beyond its slots, to hide the round trip between the end of one task and the start
// of the next. A round trip of 3 ms is 6% of the shortest usual task (50 ms), so one task per agent is
// enough.
constexpr std::uint32_t prefetch_per_agent = 1;

// Fraction of the free slots beyond its own part that an entry uses when other entries share the agent. If
// entries that see the same free slots use all of them, they send too many tasks at once: with three entries
// at 70% load, 1.5% of the tasks were refused. With this fraction it was 0.1%.
constexpr double shared_slot_fraction = 0.75;

// Run time assumed until the first task of a service has ended.
constexpr double initial_run_seconds = 0.3;

// Means cover about this many of the latest tasks or arrivals.
constexpr std::uint32_t averaged_samples = 64;

// Smaller jobs of its team may overtake a job if they arrive within this multiple of the time that the job
// takes alone. The limit bounds the wait of large jobs, while small jobs keep a low response time relative to
// the ideal. At 120% load a factor of 16 completes 98% of the capacity in time, a factor of 4 only 92%
// (docs/placement.md).
constexpr double overtaking_factor = 16;

// If the waiting tasks need more time than this, admission counts only the entry's own part of the slots.
constexpr double max_shared_wait_seconds = 2;

// A job is deferred if even this fraction of the time that its waiting tasks need exceeds the time left. The
// needed time is an estimate, so it must be clearly too long.
constexpr double deferral_margin = 0.8;
// Time after which a deferred job is checked again.
constexpr std::chrono::seconds deferral_delay{1};

// Minimum number of samples of a task class before deadlines are checked against its mean run time.
constexpr std::uint32_t min_deadline_samples = 8;

// A job that would miss its deadline even on an idle system is admitted if no job of its task class was
// admitted for this long. Its tasks correct the mean run time if that is stale.
constexpr std::chrono::seconds mean_recheck_interval{1};

// Callers choose the names of methods, so the number of classes must be limited. Requests of further methods
// share the class of jobs.
constexpr std::size_t max_task_classes = 64;

// Healthy backend servers differ in speed by a factor of up to 4. One that is slower than the typical one by
// more than this factor is defective: a task on it takes longer than waiting for another backend server.
constexpr double max_slowness = 6;
constexpr std::uint32_t min_slowness_samples = 3;
// A run time of up to this multiple of the typical one is normal.
constexpr double max_normal_ratio = 2;

// A backend server with one task counts as silent after this multiple of the mean run time, and one with k
// tasks after a k-th of that. With exponential run times, a healthy one is silent for that long with a
// probability of exp(-16). One more mean run time is allowed for tasks that queue behind those of other
// entries.
constexpr double silence_factor = 16;
constexpr double min_silence_seconds = 1;
constexpr std::chrono::seconds silence_check_interval{1};

// The reported load of other entries decays with a half-life of one task's run time, but at least this long.
constexpr double min_load_half_life_seconds = 0.02;

double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>{to - from}.count();
}

double sample_weight(std::uint32_t samples) {
    return 1.0 / std::min(samples + 1, averaged_samples);
}

time_point after_seconds(time_point from, double seconds) {
    return from +
           std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>{seconds});
}

} // namespace

template <placement_policy policy>
basic_scheduler<policy>::basic_scheduler(std::uint64_t seed)
    : random_{seed} {}

template <placement_policy policy>
void basic_scheduler<policy>::set_fleet(std::shared_ptr<const fleet_view> fleet, time_point now) {
    fleet_ = std::move(fleet);
    for (const auto& [name, number] : team_numbers_) {
        apply_team_policy(name, teams_[number]);
        set_team_running(number, teams_[number].running);
        for (const std::uint32_t service : teams_[number].services)
            services_[service].queue.set_share(number, teams_[number].share);
    }
    for (scheduler_agent& agent : agents_) {
        const bool zone_out = fleet_ && fleet_->is_zone_out(agent.zone);
        if (zone_out == agent.zone_out)
            continue;
        agent.zone_out = zone_out;
        // When a zone returns, its backend servers start with a window of one task, so that their load rises
        // step by step.
        for (const auto& [service, backend] : agent.backends)
            services_[service].backends[backend].health.reset_window(1);
        update_backends_of_agent(agent, now);
    }
}

template <placement_policy policy> void basic_scheduler<policy>::set_entry_count(std::uint32_t entries) {
    entry_count_ = std::max<std::uint32_t>(entries, 1);
    for (const auto& [name, number] : team_numbers_) {
        apply_team_policy(name, teams_[number]);
        set_team_running(number, teams_[number].running);
    }
}

template <placement_policy policy>
std::optional<job_failed> basic_scheduler<policy>::admit(const job_id& job, const job_spec& spec,
                                                         time_point deadline, time_point now) {
    if (auto refused = check_runnable(fleet_.get(), spec, availability_of(spec.service)))
        return refused;
    if (auto refused = check_capacity(spec, deadline, now))
        return refused;
    // The job table filters resubmissions. The record of a withdrawn job remains while a task of it is
    // assigned.
    const auto known = job_numbers_.find(job);
    if (known != job_numbers_.end() && !jobs_[known->second].is_withdrawn)
        return std::nullopt;
    scheduler_job& record = job_record(job, spec, deadline, now);
    record.next = 0;
    // Smaller jobs may overtake this one only while it can still meet its deadline.
    const double needed_seconds = wait_without_overtaking(load_for(spec), spec.tasks.size());
    const double latest_start = seconds_between(time_point{}, deadline) - needed_seconds;
    record.order = std::clamp(latest_start, seconds_between(time_point{}, now), record.order);
    record.end = static_cast<task_index>(spec.tasks.size());
    change_waiting_count(record, record.end);
    service_state& service = services_[record.service];
    service.task_classes[record.task_class_number].last_admitted = now;
    service.job_sizes.add(record.size_class, spec.tasks.size());
    // Averaged over arrivals, which gives the same load as an average over time.
    const double usable_slots =
        std::max(mean_completion_rate(service) * mean_run_seconds_or_initial(service), 1.0);
    const double utilization = std::min(1.0, static_cast<double>(service.in_flight) / usable_slots);
    service.utilization += (utilization - service.utilization) / averaged_samples;
    enqueue(job_numbers_.at(job));
    return std::nullopt;
}

template <placement_policy policy>
service_availability basic_scheduler<policy>::availability_of(const std::string& service) const {
    const auto found = service_numbers_.find(service);
    if (found == service_numbers_.end() || !services_[found->second].was_served)
        return service_availability::not_yet_known;
    return services_[found->second].serving > 0 ? service_availability::serving
                                                : service_availability::none_left;
}

template <placement_policy policy>
admission_load basic_scheduler<policy>::load_for(const job_spec& spec) const {
    const service_state& service = services_[service_numbers_.at(spec.service)];
    const std::size_t size = fair_queue::size_class(spec.is_request(), spec.tasks.size());
    admission_load load;
    load.service_waiting_tasks = service.waiting_count;
    load.shares_queue = fleet_->teams.size() > 1;
    load.rate = mean_completion_rate(service);
    // A long queue here means that other entries have one too, although their latest reports may not show it
    // yet. The entry then gets only its own part of the slots.
    const bool long_queue =
        static_cast<double>(service.waiting_count + spec.tasks.size()) > load.rate * max_shared_wait_seconds;
    if (long_queue && service.rate > 0)
        load.rate *= std::min(1.0, service.own_slots_rate / service.rate);
    load.smaller_job_fraction = service.utilization * service.job_sizes.fraction_below(size);
    load.max_overtaking_factor = overtaking_factor;
    const auto kind_found = service.class_by_method.find(spec.method);
    const std::size_t kind = kind_found == service.class_by_method.end() ? 0 : kind_found->second;
    if (service.task_classes[kind].samples >= min_deadline_samples)
        load.run_seconds = service.task_classes[kind].mean_run_seconds;

    const auto team = team_numbers_.find(spec.team);
    if (team == team_numbers_.end())
        return load;
    const scheduler_team& state = teams_[team->second];
    load.team_waiting_tasks = service.queue.waiting_count(team->second);
    load.team_fraction = state.share / (state.share + service.queue.competing_shares(team->second));
    load.team_rate_limit = state.max_running / mean_run_seconds_or_initial(service);
    const double rate = std::max(load.rate, 1.0);
    const double max_wait = static_cast<double>(load.team_waiting_tasks) / (rate * load.team_fraction);
    load.team_tasks_ahead =
        service.queue.waiting_before(team->second, size, overtaking_factor / rate, max_wait);
    return load;
}

template <placement_policy policy>
double basic_scheduler<policy>::mean_run_seconds_or_initial(const service_state& service) {
    return service.mean_run_seconds > 0 ? service.mean_run_seconds : initial_run_seconds;
}

// Tasks per second that this entry can complete. The sum of the backend servers' rates assumes typical tasks;
// long tasks raise the mean above the typical run time.
template <placement_policy policy>
double basic_scheduler<policy>::mean_completion_rate(const service_state& service) {
    if (service.mean_run_seconds == 0)
        return service.rate;
    return service.rate * service.typical_run_seconds.value_or(service.mean_run_seconds) /
           service.mean_run_seconds;
}

template <placement_policy policy>
std::optional<job_failed> basic_scheduler<policy>::check_capacity(const job_spec& spec, time_point deadline,
                                                                  time_point now) {
    const admission_load load = load_for(spec);
    const std::uint32_t queue_limit = fleet_->find_service(spec.service)->queue_limit;
    if (auto refused = check_queue(load, queue_limit, spec.tasks.size()))
        return refused;
    auto refused = check_deadline(load, spec.tasks.size(), deadline - now);
    if (!refused || refused->is_at_capacity)
        return refused;
    service_state& service = services_[service_numbers_.at(spec.service)];
    const scheduler_task_class& kind = service.task_classes[task_class_number(service, spec.method)];
    return now - kind.last_admitted >= mean_recheck_interval ? std::nullopt : refused;
}

template <placement_policy policy>
void basic_scheduler<policy>::requeue(const job_id& job, const job_spec& spec,
                                      const std::vector<task_index>& tasks, time_point deadline,
                                      time_point now) {
    if (tasks.empty())
        return;
    scheduler_job& record = job_record(job, spec, deadline, now);
    const auto count = static_cast<std::uint32_t>(tasks.size());
    record.awaiting_requeue -= std::min(record.awaiting_requeue, count);
    const std::uint32_t retries = std::min(record.retries, count);
    record.retries -= retries;
    const std::uint32_t granted = held_jobs_.empty() ? retry_budget_.take(retries, now) : 0;
    const std::uint32_t held = retries - granted;
    if (held > 0)
        held_jobs_.push_back(job);
    record.held.insert(record.held.end(), tasks.begin(), tasks.begin() + held);
    record.returned.insert(record.returned.end(), tasks.rbegin(), tasks.rend() - held);
    change_waiting_count(record, count);
    enqueue(job_numbers_.at(job));
}

// Queues deferred jobs again after the deferral time; capacity may have returned.
template <placement_policy policy> void basic_scheduler<policy>::requeue_deferred(time_point now) {
    while (!deferred_jobs_.empty() && deferred_jobs_.front().second <= now) {
        const auto found = job_numbers_.find(deferred_jobs_.front().first);
        if (found != job_numbers_.end())
            enqueue(found->second);
        deferred_jobs_.pop_front();
    }
}

// Queues held tasks as far as the retry budget allows.
template <placement_policy policy> void basic_scheduler<policy>::queue_held_tasks(time_point now) {
    while (!held_jobs_.empty()) {
        const auto found = job_numbers_.find(held_jobs_.front());
        if (found == job_numbers_.end() || jobs_[found->second].held.empty()) {
            held_jobs_.pop_front();
            continue;
        }
        scheduler_job& record = jobs_[found->second];
        if (retry_budget_.take(1, now) == 0)
            return;
        record.returned.push_back(record.held.back());
        record.held.pop_back();
        enqueue(found->second);
    }
}

template <placement_policy policy> void basic_scheduler<policy>::withdraw(const job_id& job) {
    const auto found = job_numbers_.find(job);
    if (found == job_numbers_.end())
        return;
    const std::uint32_t number = found->second;
    scheduler_job& record = jobs_[number];
    dequeue(number);
    change_waiting_count(record, -static_cast<std::int64_t>(record.waiting_count()));
    record.next = record.end;
    record.returned.clear();
    record.held.clear();
    record.awaiting_requeue = 0;
    record.retries = 0;
    record.is_withdrawn = true;
    remove_job_if_done(number);
}

template <placement_policy policy>
void basic_scheduler<policy>::task_returned(const incarnation& agent, const job_id& job,
                                            const task_report& report, time_point now) {
    const auto agent_found = agent_numbers_.find(agent);
    const auto job_found = job_numbers_.find(job);
    if (agent_found == agent_numbers_.end() || job_found == job_numbers_.end())
        return;
    const std::uint32_t number = job_found->second;
    scheduler_job& record = jobs_[number];
    const std::optional<std::uint32_t> place = find_backend(agents_[agent_found->second], record.service);
    if (!place)
        return;
    service_state& service = services_[record.service];
    scheduler_backend& backend = service.backends[*place];
    const auto is_task = [&](const in_flight_task& task) {
        return task.job == number && task.index == report.index;
    };
    const auto task = std::find_if(backend.in_flight.begin(), backend.in_flight.end(), is_task);
    // The report is a duplicate, sent again after a reconnect.
    if (task == backend.in_flight.end())
        return;
    const in_flight_task returned = *task;
    *task = backend.in_flight.back();
    backend.in_flight.pop_back();

    set_team_running(record.team, teams_[record.team].running - 1);
    --record.in_flight;
    --service.in_flight;
    const double task_seconds = std::chrono::duration<double>{report.run_time()}.count();
    if (report.status != task_status::unknown)
        service.queue.adjust_charge(record.team, task_seconds - returned.charged_seconds);
    record_result(service, backend, record, report, now);
    if (report.status == task_status::failed || report.status == task_status::unknown)
        record_failure(service, backend, number, now);
    update_backend(record.service, *place, now);
    remove_job_if_done(number);
}

template <placement_policy policy>
void basic_scheduler<policy>::record_success(service_state& service, scheduler_backend& backend,
                                             scheduler_task_class& kind, double task_seconds,
                                             time_point now) {
    const double ratio = task_seconds / kind.typical_run_seconds.value_or(task_seconds);
    const ejection_cause cause = backend.health.cause();
    backend.health.succeeded(now);
    if (cause == ejection_cause::slowness) {
        // One short task is weak evidence, so its geometric mean with the earlier slowness must be low
        // too. If it is not, the next probe follows at once.
        const double estimate = std::sqrt(backend.slowness.value_or(1) * ratio);
        backend.slowness.reset(estimate);
        if (ratio <= max_slowness && estimate > max_slowness / 2)
            backend.health.schedule_probe_now(now);
        if (estimate > max_slowness / 2)
            return;
    }
    // If the task that ends a silence took a normal time, the silence was an interruption. Otherwise it is
    // evidence of slowness, and the slowness estimate is reset: the first tasks to end are the shortest ones
    // and understate how slow the backend server has become.
    const bool was_interrupted = cause == ejection_cause::silence && ratio <= max_normal_ratio;
    if (cause == ejection_cause::silence && !was_interrupted)
        backend.slowness.reset(std::sqrt(backend.slowness.value_or(1) * ratio));
    if (cause != ejection_cause::none)
        backend.health.readmit(was_interrupted ? backend.slots : 1);
    kind.typical_run_seconds.observe(task_seconds, task_seconds);
    service.typical_run_seconds.observe(task_seconds, task_seconds);
    kind.mean_run_seconds += sample_weight(kind.samples) * (task_seconds - kind.mean_run_seconds);
    service.mean_run_seconds +=
        sample_weight(service.typical_run_seconds.samples() - 1) * (task_seconds - service.mean_run_seconds);
    ++kind.samples;
    backend.slowness.observe(ratio, 1);
    const bool is_slow =
        backend.slowness.samples() >= min_slowness_samples && backend.slowness.value_or(1) > max_slowness;
    if (is_slow && can_eject(service))
        backend.health.eject(ejection_cause::slowness, now);
}

template <placement_policy policy>
void basic_scheduler<policy>::record_failure(service_state& service, scheduler_backend& backend,
                                             std::uint32_t job, time_point now) {
    const bool is_same_job = backend.last_failed_job == job + 1;
    backend.last_failed_job = job + 1;
    backend.health.failed(is_same_job);
    if (backend.health.is_ejected() || !can_eject(service))
        return;
    const std::size_t others = service.serving - service.ejected - 1;
    const double usual_failure_ratio =
        (service.failure_ratio_sum - backend.failure_ratio) / static_cast<double>(others);
    if (backend.health.has_excessive_failures(usual_failure_ratio))
        backend.health.eject(ejection_cause::failures, now);
}

template <placement_policy policy>
void basic_scheduler<policy>::record_refusal(scheduler_backend& backend, scheduler_job& record,
                                             refusal reason, time_point now) {
    if (!record.is_withdrawn)
        ++record.awaiting_requeue;
    if (reason == refusal::revoked)
        return;
    const bool is_overloaded = reason == refusal::queue_full || reason == refusal::declined_by_backend_server;
    backend.health.refused(is_overloaded, static_cast<std::uint32_t>(backend.in_flight.size()), now);
    // A refusal because of an operator's action is no sign of overload, so it does not count against the
    // retry budget. Its tasks are moved without delay.
    const bool is_planned = reason == refusal::draining || reason == refusal::zone_out;
    if (!record.is_withdrawn && !is_planned)
        ++record.retries;
}

template <placement_policy policy>
void basic_scheduler<policy>::record_result(service_state& service, scheduler_backend& backend,
                                            scheduler_job& record, const task_report& report,
                                            time_point now) {
    if (report.status == task_status::not_started) {
        record_refusal(backend, record, report.reason, now);
        return;
    }
    backend.silent_since = now;
    if (report.status != task_status::succeeded)
        return;
    const double task_seconds = std::chrono::duration<double>{report.run_time()}.count();
    record_success(service, backend, service.task_classes[record.task_class_number], task_seconds, now);
}

template <placement_policy policy>
void basic_scheduler<policy>::load_reported(const incarnation& agent, const std::string& service,
                                            const agent_load& load, time_point now) {
    const auto found = agent_numbers_.find(agent);
    const auto service_found = service_numbers_.find(service);
    if (found == agent_numbers_.end() || service_found == service_numbers_.end())
        return;
    const std::optional<std::uint32_t> place = find_backend(agents_[found->second], service_found->second);
    if (!place)
        return;
    scheduler_backend& backend = services_[service_found->second].backends[*place];
    const double total = static_cast<double>(load.running) + load.queued;
    backend.others = std::max(0.0, total - static_cast<double>(backend.in_flight.size()));
    backend.others_reported_at = now;
    update_backend(service_found->second, *place, now);
}

template <placement_policy policy>
void basic_scheduler<policy>::agent_changed(const agent_status& status, time_point now) {
    const auto [found, added] = agent_numbers_.try_emplace(status.agent, 0);
    if (added) {
        if (free_agent_numbers_.empty()) {
            free_agent_numbers_.push_back(static_cast<std::uint32_t>(agents_.size()));
            agents_.emplace_back();
        }
        found->second = free_agent_numbers_.back();
        free_agent_numbers_.pop_back();
        agents_[found->second] = scheduler_agent{};
        agents_[found->second].id = status.agent;
    }
    const std::uint32_t number = found->second;
    agents_[number].zone = status.zone;
    agents_[number].is_connected = true;
    agents_[number].draining = status.draining;
    agents_[number].zone_out = fleet_ && fleet_->is_zone_out(status.zone);
    for (const auto& [service, backend] : agents_[number].backends)
        services_[service].backends[backend].slots = 0;
    for (const service_capacity& capacity : status.services) {
        const std::uint32_t service = service_number(capacity.service);
        std::optional<std::uint32_t> backend = find_backend(agents_[number], service);
        if (!backend) {
            backend = add_backend(number, service);
            // Starts with half of its slots until the first tasks show that it works.
            services_[service].backends[*backend].health.reset_window((capacity.slots + 1) / 2);
        }
        services_[service].backends[*backend].slots = capacity.slots;
        services_[service].was_served = true;
    }
    update_backends_of_agent(agents_[number], now);
}

template <placement_policy policy>
void basic_scheduler<policy>::agent_disconnected(const incarnation& agent, time_point now) {
    const auto found = agent_numbers_.find(agent);
    if (found == agent_numbers_.end())
        return;
    agents_[found->second].is_connected = false;
    update_backends_of_agent(agents_[found->second], now);
}

template <placement_policy policy>
void basic_scheduler<policy>::agent_gone(const incarnation& agent, time_point now) {
    agent_disconnected(agent, now);
    const auto found = agent_numbers_.find(agent);
    if (found == agent_numbers_.end())
        return;
    for (const auto& [service, backend] : agents_[found->second].backends) {
        const std::vector<in_flight_task> lost_tasks =
            std::move(services_[service].backends[backend].in_flight);
        services_[service].backends[backend] = scheduler_backend{};
        services_[service].free_backend_numbers.push_back(backend);
        for (const in_flight_task& task : lost_tasks) {
            scheduler_job& record = jobs_[task.job];
            set_team_running(record.team, teams_[record.team].running - 1);
            --record.in_flight;
            --services_[service].in_flight;
            remove_job_if_done(task.job);
        }
    }
    agents_[found->second] = scheduler_agent{};
    free_agent_numbers_.push_back(found->second);
    agent_numbers_.erase(found);
}

template <placement_policy policy>
std::vector<assignment> basic_scheduler<policy>::take_assignments(time_point now) {
    queue_held_tasks(now);
    requeue_deferred(now);
    run_wakeups(now);
    pending_assignments result;
    for (std::uint32_t service = 0; service < services_.size(); ++service) {
        if (services_[service].waiting_count > 0)
            assign_waiting(service, result, now);
    }
    return std::move(result.list);
}

template <placement_policy policy>
void basic_scheduler<policy>::assign_waiting(std::uint32_t service, pending_assignments& result,
                                             time_point now) {
    service_state& state = services_[service];
    while (const std::optional<fair_queue::selection> selected = state.queue.next()) {
        const std::optional<std::uint32_t> backend = state.placement.choose(random_);
        if (!backend)
            return;
        const scheduler_job& job = jobs_[selected->job];
        // The job table ends a job whose deadline has passed. Until then its tasks are skipped.
        if (job.deadline <= now || cannot_meet_deadline(state, job, now)) {
            if (job.deadline > now)
                deferred_jobs_.emplace_back(*job.id, now + deferral_delay);
            dequeue(selected->job);
            continue;
        }
        assign(service, *backend, *selected, result, now);
    }
}

// True if the waiting tasks would clearly not end before the deadline even if the job had the whole service.
template <placement_policy policy>
bool basic_scheduler<policy>::cannot_meet_deadline(const service_state& service, const scheduler_job& record,
                                                   time_point now) {
    if (service.task_classes[record.task_class_number].samples < min_deadline_samples)
        return false;
    const double needed_seconds =
        static_cast<double>(record.waiting_count()) / std::max(mean_completion_rate(service), 1e-9);
    return deferral_margin * needed_seconds > seconds_between(now, record.deadline);
}

template <placement_policy policy>
void basic_scheduler<policy>::assign(std::uint32_t service, std::uint32_t backend,
                                     const fair_queue::selection& selected, pending_assignments& result,
                                     time_point now) {
    service_state& state = services_[service];
    scheduler_job& record = jobs_[selected.job];
    const std::uint64_t key = (std::uint64_t{selected.job} << 32) | backend;
    const auto [position, added] = result.positions.try_emplace(key, result.list.size());
    if (added)
        result.list.push_back({*record.id, agents_[state.backends[backend].agent].id, {}});
    const task_index index = record.take();
    result.list[position->second].tasks.push_back(index);
    ++record.in_flight;
    ++state.in_flight;
    change_waiting_count(record, -1);
    retry_budget_.earn(1);

    const scheduler_task_class& kind = state.task_classes[record.task_class_number];
    const double charged_seconds = kind.samples > 0 ? kind.mean_run_seconds : initial_run_seconds;
    state.queue.charge(selected, record.is_request, charged_seconds);
    if (record.ready_count() == 0)
        dequeue(selected.job);
    set_team_running(selected.team, teams_[selected.team].running + 1);
    scheduler_backend& chosen = state.backends[backend];
    if (chosen.in_flight.empty())
        chosen.silent_since = now;
    chosen.in_flight.push_back({selected.job, index, static_cast<float>(charged_seconds), now});
    if (chosen.health.is_ejected())
        chosen.health.record_probe(now);
    update_backend(service, backend, now);
}

template <placement_policy policy> std::optional<time_point> basic_scheduler<policy>::next_wakeup() const {
    std::optional<time_point> next;
    if (!wakeups_.empty())
        next = wakeups_.top().time;
    if (!deferred_jobs_.empty())
        next = std::min(next.value_or(time_point::max()), deferred_jobs_.front().second);
    if (!held_jobs_.empty())
        next = std::min(next.value_or(time_point::max()), retry_budget_.next_available());
    return next;
}

template <placement_policy policy>
std::uint32_t basic_scheduler<policy>::service_number(const std::string& name) {
    const auto [found, added] =
        service_numbers_.try_emplace(name, static_cast<std::uint32_t>(services_.size()));
    if (added) {
        services_.emplace_back();
        services_.back().name = name;
    }
    return found->second;
}

template <placement_policy policy>
std::uint32_t basic_scheduler<policy>::team_number(const std::string& name) {
    const auto [found, added] = team_numbers_.try_emplace(name, static_cast<std::uint32_t>(teams_.size()));
    if (added) {
        teams_.emplace_back();
        apply_team_policy(name, teams_.back());
    }
    return found->second;
}

template <placement_policy policy>
void basic_scheduler<policy>::apply_team_policy(const std::string& name, scheduler_team& team) {
    const team_policy* found = fleet_ ? fleet_->find_team(name) : nullptr;
    team.share = found == nullptr ? 1 : std::max<std::uint32_t>(found->share, 1);
    const std::uint32_t bound = found == nullptr ? 0 : found->max_running;
    team.max_running = bound == 0 ? 0 : std::max<std::uint32_t>(bound / entry_count_, 1);
}

// Returns the record of the job and creates it if needed. The record of a withdrawn job is reused.
template <placement_policy policy>
scheduler_job& basic_scheduler<policy>::job_record(const job_id& job, const job_spec& spec,
                                                   time_point deadline, time_point now) {
    const auto [found, added] = job_numbers_.try_emplace(job, 0);
    if (added)
        found->second = add_job(found->first, spec);
    scheduler_job& record = jobs_[found->second];
    if (!added && !record.is_withdrawn)
        return record;
    record.is_withdrawn = false;
    record.deadline = deadline;
    const double rate = std::max(mean_completion_rate(services_[record.service]), 1.0);
    const double seconds_alone = static_cast<double>(spec.tasks.size()) / rate;
    record.order = seconds_between(time_point{}, now) + overtaking_factor * seconds_alone;
    return record;
}

template <placement_policy policy>
std::uint32_t basic_scheduler<policy>::add_job(const job_id& job, const job_spec& spec) {
    if (free_job_numbers_.empty()) {
        free_job_numbers_.push_back(static_cast<std::uint32_t>(jobs_.size()));
        jobs_.emplace_back();
    }
    const std::uint32_t number = free_job_numbers_.back();
    free_job_numbers_.pop_back();
    scheduler_job& record = jobs_[number];
    record = scheduler_job{};
    record.id = &job;
    record.service = service_number(spec.service);
    record.team = team_number(spec.team);
    record.is_request = spec.is_request();
    record.size_class =
        static_cast<std::uint8_t>(fair_queue::size_class(record.is_request, spec.tasks.size()));
    record.task_class_number = task_class_number(services_[record.service], spec.method);
    scheduler_team& team = teams_[record.team];
    if (std::find(team.services.begin(), team.services.end(), record.service) == team.services.end()) {
        team.services.push_back(record.service);
        services_[record.service].queue.set_share(record.team, team.share);
        services_[record.service].queue.set_blocked(record.team, team.is_blocked());
    }
    return number;
}

// Returns the number of a method's task class. The class is created if the limit on classes is not reached.
template <placement_policy policy>
std::uint8_t basic_scheduler<policy>::task_class_number(service_state& service, const std::string& method) {
    if (method.empty())
        return 0;
    const auto found = service.class_by_method.find(method);
    if (found != service.class_by_method.end())
        return found->second;
    if (service.task_classes.size() >= max_task_classes)
        return 0;
    const auto number = static_cast<std::uint8_t>(service.task_classes.size());
    service.task_classes.emplace_back();
    service.class_by_method.emplace(method, number);
    return number;
}

template <placement_policy policy>
void basic_scheduler<policy>::change_waiting_count(const scheduler_job& record, std::int64_t difference) {
    service_state& service = services_[record.service];
    service.waiting_count += static_cast<std::size_t>(difference);
    service.queue.change_waiting_count(record.team, record.size_class, difference);
    waiting_count_ += static_cast<std::size_t>(difference);
}

template <placement_policy policy> void basic_scheduler<policy>::enqueue(std::uint32_t number) {
    scheduler_job& record = jobs_[number];
    if (record.queued || record.ready_count() == 0)
        return;
    record.queued = true;
    services_[record.service].queue.add(record.team, number, {record.is_request, record.order});
}

template <placement_policy policy> void basic_scheduler<policy>::dequeue(std::uint32_t number) {
    scheduler_job& record = jobs_[number];
    if (!record.queued)
        return;
    record.queued = false;
    services_[record.service].queue.remove(record.team, number, {record.is_request, record.order});
}

template <placement_policy policy> void basic_scheduler<policy>::remove_job_if_done(std::uint32_t number) {
    const scheduler_job& record = jobs_[number];
    if (record.waiting_count() > 0 || record.in_flight > 0 || record.awaiting_requeue > 0)
        return;
    job_numbers_.erase(job_numbers_.find(*record.id));
    jobs_[number] = scheduler_job{};
    free_job_numbers_.push_back(number);
}

template <placement_policy policy>
void basic_scheduler<policy>::set_team_running(std::uint32_t team, std::uint32_t running) {
    scheduler_team& state = teams_[team];
    state.running = running;
    if (state.max_running == 0 && !state.is_blocked_in_queues)
        return;
    if (state.is_blocked() == state.is_blocked_in_queues)
        return;
    state.is_blocked_in_queues = state.is_blocked();
    for (const std::uint32_t service : state.services)
        services_[service].queue.set_blocked(team, state.is_blocked_in_queues);
}

template <placement_policy policy>
std::optional<std::uint32_t> basic_scheduler<policy>::find_backend(const scheduler_agent& agent,
                                                                   std::uint32_t service) const {
    const auto matches = [&](const auto& place) {
        return place.first == service;
    };
    const auto found = std::find_if(agent.backends.begin(), agent.backends.end(), matches);
    if (found == agent.backends.end())
        return std::nullopt;
    return found->second;
}

template <placement_policy policy>
std::uint32_t basic_scheduler<policy>::add_backend(std::uint32_t agent, std::uint32_t service) {
    service_state& state = services_[service];
    if (state.free_backend_numbers.empty()) {
        state.free_backend_numbers.push_back(static_cast<std::uint32_t>(state.backends.size()));
        state.backends.emplace_back();
    }
    const std::uint32_t number = state.free_backend_numbers.back();
    state.free_backend_numbers.pop_back();
    state.backends[number].agent = agent;
    agents_[agent].backends.emplace_back(service, number);
    return number;
}

// Number of tasks that this entry may have at a backend server regardless of the other entries. The parts of
// all entries together fit into the slots, unless there are fewer slots than entries: each may then have one.
template <placement_policy policy>
std::uint32_t basic_scheduler<policy>::own_slots(std::uint32_t slots) const {
    return std::max<std::uint32_t>(slots / entry_count_, 1);
}

template <placement_policy policy>
double basic_scheduler<policy>::run_seconds(const service_state& service,
                                            const scheduler_backend& backend) const {
    return backend.slowness.value_or(1) * service.typical_run_seconds.value_or(initial_run_seconds);
}

// At most half of the backend servers of a service may be ejected at once.
template <placement_policy policy> bool basic_scheduler<policy>::can_eject(const service_state& service) {
    return 2 * (service.ejected + 1) <= service.serving;
}

// Ejected backend servers get tasks again if they have become the majority because others have left.
template <placement_policy policy>
bool basic_scheduler<policy>::is_ejection_enforced(const service_state& service) {
    return 2 * service.ejected <= service.serving;
}

// Time without a report after which the backend server counts as silent, in seconds.
template <placement_policy policy>
double basic_scheduler<policy>::silence_timeout(const scheduler_backend& backend) const {
    float longest = 0;
    for (const in_flight_task& task : backend.in_flight)
        longest = std::max(longest, task.charged_seconds);
    const double expected = longest * std::max(1.0, backend.slowness.value_or(1));
    const auto running = std::clamp<std::size_t>(backend.in_flight.size(), 1, std::max(backend.slots, 1U));
    const double factor = 1 + silence_factor / static_cast<double>(running);
    return std::max(min_silence_seconds, factor * expected);
}

// Updates the backend server's contribution to the sums of its service.
template <placement_policy policy>
void basic_scheduler<policy>::update_sums(std::uint32_t service, std::uint32_t number, double others) {
    service_state& state = services_[service];
    scheduler_backend& backend = state.backends[number];
    const bool serving = backend.slots > 0 && agents_[backend.agent].accepts_tasks();
    const bool ejected = serving && backend.health.is_ejected();
    const bool is_counted = serving && !ejected;
    const double usable_slots = std::max<double>(own_slots(backend.slots), backend.slots - others);
    const double rate = is_counted ? usable_slots / run_seconds(state, backend) : 0;
    const double own_slots_rate =
        is_counted ? backend.slots / (entry_count_ * run_seconds(state, backend)) : 0;
    const double failure_ratio = is_counted ? backend.health.failure_ratio() : 0;
    state.serving += (serving ? 1 : 0) - (backend.is_serving ? 1 : 0);
    state.ejected += (ejected ? 1 : 0) - (backend.is_ejected ? 1 : 0);
    // The sums are reset while no backend server is usable. This removes accumulated rounding errors.
    const bool has_usable_backend = state.serving > state.ejected;
    state.rate = has_usable_backend ? state.rate + rate - backend.rate : 0;
    state.own_slots_rate =
        has_usable_backend ? state.own_slots_rate + own_slots_rate - backend.own_slots_rate : 0;
    state.failure_ratio_sum =
        has_usable_backend ? state.failure_ratio_sum + failure_ratio - backend.failure_ratio : 0;
    backend.is_serving = serving;
    backend.is_ejected = ejected;
    backend.rate = rate;
    backend.own_slots_rate = own_slots_rate;
    backend.failure_ratio = failure_ratio;
}

// Updates the placement policy: whether the backend server may receive a task now, and its load.
template <placement_policy policy>
void basic_scheduler<policy>::update_backend(std::uint32_t service, std::uint32_t number, time_point now) {
    service_state& state = services_[service];
    scheduler_backend& backend = state.backends[number];
    eject_if_silent(service, number, now);
    const double others = estimate_other_load(state, backend, now);
    update_sums(service, number, others);
    if (const std::optional<placement_load> load = load_if_available(service, number, others, now))
        state.placement.update(number, *load, random_);
    else
        state.placement.remove(number);
}

// Ejects the backend server if it is silent, or schedules a later check.
template <placement_policy policy>
void basic_scheduler<policy>::eject_if_silent(std::uint32_t service, std::uint32_t number, time_point now) {
    scheduler_backend& backend = services_[service].backends[number];
    const bool is_watched = backend.is_serving && !backend.in_flight.empty() && !backend.health.is_ejected();
    if (!is_watched || (backend.wakeup && *backend.wakeup <= now + silence_check_interval))
        return;
    const time_point limit = after_seconds(backend.silent_since, silence_timeout(backend));
    if (now > limit && can_eject(services_[service]))
        backend.health.eject(ejection_cause::silence, now);
    else
        schedule_wakeup(service, number, std::max(limit, now + silence_check_interval));
}

// Estimated tasks of other entries at the backend server. The reported number decays as these tasks end.
template <placement_policy policy>
double basic_scheduler<policy>::estimate_other_load(const service_state& service,
                                                    const scheduler_backend& backend, time_point now) const {
    if (backend.others == 0)
        return 0;
    const double half_life = std::max(run_seconds(service, backend), min_load_half_life_seconds);
    const double age = std::max(0.0, seconds_between(backend.others_reported_at, now));
    return backend.others * std::exp2(-age / half_life);
}

// Returns the load for the placement policy, or nullopt if the backend server may not receive a task now. If
// the time is known at which it may, a wakeup is scheduled for it.
template <placement_policy policy>
std::optional<placement_load> basic_scheduler<policy>::load_if_available(std::uint32_t service,
                                                                         std::uint32_t number, double others,
                                                                         time_point now) {
    const service_state& state = services_[service];
    const scheduler_backend& backend = state.backends[number];
    const ejection_state& health = backend.health;
    if (!backend.is_serving)
        return std::nullopt;
    if (now < health.paused_until()) {
        schedule_wakeup(service, number, health.paused_until());
        return std::nullopt;
    }
    const auto own_in_flight = static_cast<double>(backend.in_flight.size());
    if (health.is_ejected() && is_ejection_enforced(state)) {
        if (now < health.probe_at())
            schedule_wakeup(service, number, health.probe_at());
        else if (own_in_flight + 1 <= backend.slots)
            // A load of 0 makes the probe the first choice. Otherwise it might never be sent, and the backend
            // server would stay ejected.
            return placement_load{backend.slots, 0, 0};
        return std::nullopt;
    }
    const double task_seconds = run_seconds(state, backend);
    const double usable_slots = backend.slots + prefetch_per_agent;
    const double own_part = own_slots(backend.slots);
    const double spare_slots = std::max(0.0, usable_slots - others - own_part);
    const double limit = own_part + (entry_count_ > 1 ? shared_slot_fraction * spare_slots : spare_slots);
    if (own_in_flight + 1 <= std::min<double>(limit, health.window()))
        return placement_load{backend.slots, own_in_flight + others, task_seconds};
    if (others > 0 && own_in_flight + 1 <= std::min<double>(usable_slots, health.window()))
        schedule_wakeup(service, number,
                        after_seconds(now, std::max(task_seconds, min_load_half_life_seconds)));
    return std::nullopt;
}

template <placement_policy policy>
void basic_scheduler<policy>::update_backends_of_agent(const scheduler_agent& agent, time_point now) {
    for (const auto& [service, backend] : agent.backends) {
        service_state& state = services_[service];
        const bool was_enforced = is_ejection_enforced(state);
        update_backend(service, backend, now);
        if (is_ejection_enforced(state) == was_enforced)
            continue;
        for (std::uint32_t other = 0; other < state.backends.size(); ++other)
            update_backend(service, other, now);
    }
}

template <placement_policy policy>
void basic_scheduler<policy>::schedule_wakeup(std::uint32_t service, std::uint32_t number, time_point time) {
    std::optional<time_point>& pending = services_[service].backends[number].wakeup;
    if (pending && *pending <= time)
        return;
    pending = time;
    wakeups_.push({time, service, number});
}

template <placement_policy policy> void basic_scheduler<policy>::run_wakeups(time_point now) {
    while (!wakeups_.empty() && wakeups_.top().time <= now) {
        const wakeup due = wakeups_.top();
        wakeups_.pop();
        scheduler_backend& backend = services_[due.service].backends[due.backend];
        // The wakeup was replaced by an earlier one, or the backend server is gone.
        if (backend.wakeup != due.time)
            continue;
        backend.wakeup.reset();
        update_backend(due.service, due.backend, now);
    }
}

template class basic_scheduler<placement_least_completion>;
template class basic_scheduler<placement_random>;
template class basic_scheduler<placement_two_choices>;
template class basic_scheduler<placement_credits>;

} // namespace persimmonstile
