#include "coordination/scheduler.h"

#include "coordination/placement_credits.h"
#include "coordination/placement_random.h"
#include "coordination/placement_two_choices.h"

#include <algorithm>
#include <cmath>

namespace persimmonstile {

namespace {

// Tasks beyond its slots that an agent receives, to hide the round trip between an end and the next start.
// A round trip of 3 ms is 6% of the shortest usual task (50 ms), so one task per agent is enough.
constexpr std::uint32_t prefetch_per_agent = 1;

// Run time assumed before the first task of a service has ended.
constexpr double initial_run_seconds = 0.3;

// The mean run time of a service is an average over about this many of the last tasks.
constexpr double mean_weight = 1.0 / 64;

// How much longer a job waits behind smaller ones of its team, as a multiple of the time that it takes
// alone. Bounds the wait of large jobs while small ones keep a low response time relative to the ideal.
constexpr double size_penalty = 4;

// Pause after a refusal; doubles with every refusal until a task succeeds.
constexpr std::chrono::milliseconds first_pause{5};
constexpr std::chrono::milliseconds longest_pause{1000};

// Load of other entries is believed for the time of one task, but at least for this long.
constexpr double shortest_load_half_life_seconds = 0.02;

double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>{to - from}.count();
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
        refresh_agent(agent, now);
    }
}

template <placement_policy policy> void basic_scheduler<policy>::set_entry_count(std::uint32_t entries) {
    entries_ = std::max<std::uint32_t>(entries, 1);
    for (const auto& [name, number] : team_numbers_) {
        apply_team_policy(name, teams_[number]);
        set_team_running(number, teams_[number].running);
    }
}

template <placement_policy policy>
std::optional<job_failed> basic_scheduler<policy>::admit(const job_id& job, const job_spec& spec,
                                                         time_point deadline, time_point now) {
    scheduler_job& record = job_record(job, spec, deadline, now);
    record.end = static_cast<task_index>(spec.tasks.size());
    services_[record.service].waiting += record.end;
    waiting_count_ += record.end;
    enqueue(job_numbers_.at(job));
    return std::nullopt;
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
    record.returned.insert(record.returned.end(), tasks.rbegin(), tasks.rend());
    services_[record.service].waiting += count;
    waiting_count_ += count;
    enqueue(job_numbers_.at(job));
}

template <placement_policy policy> void basic_scheduler<policy>::withdraw(const job_id& job) {
    const auto found = job_numbers_.find(job);
    if (found == job_numbers_.end())
        return;
    const std::uint32_t number = found->second;
    scheduler_job& record = jobs_[number];
    dequeue(number);
    services_[record.service].waiting -= record.waiting();
    waiting_count_ -= record.waiting();
    record.next = record.end;
    record.returned.clear();
    record.awaiting_requeue = 0;
    record.withdrawn = true;
    release_if_done(number);
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
    const std::optional<std::uint32_t> place = backend_of(agents_[agent_found->second], record.service);
    if (!place)
        return;
    service_state& service = services_[record.service];
    scheduler_backend& backend = service.backends[*place];
    const auto is_task = [&](const in_flight_task& task) {
        return task.job == number && task.index == report.index;
    };
    const auto task = std::find_if(backend.in_flight.begin(), backend.in_flight.end(), is_task);
    // A report that was sent again after a reconnect.
    if (task == backend.in_flight.end())
        return;
    const in_flight_task returned = *task;
    *task = backend.in_flight.back();
    backend.in_flight.pop_back();

    set_team_running(record.team, teams_[record.team].running - 1);
    --record.in_flight;
    const double run = std::chrono::duration<double>{report.run_time()}.count();
    if (report.status != task_status::unknown)
        service.queue.adjust(record.team, run - returned.charged);
    if (report.status == task_status::not_started) {
        record.awaiting_requeue += record.withdrawn ? 0 : 1;
        if (report.reason != refusal::revoked)
            pause_after_refusal(backend, now);
    }
    learn(service, backend, report);
    refresh(record.service, *place, now);
    release_if_done(number);
}

template <placement_policy policy>
void basic_scheduler<policy>::learn(service_state& service, scheduler_backend& backend,
                                    const task_report& report) {
    if (report.status != task_status::succeeded)
        return;
    const double typical = service.typical.expected_seconds(initial_run_seconds);
    backend.speed.observe(report.run_time(), typical);
    service.typical.observe(report.run_time(), typical);
    const double run = std::chrono::duration<double>{report.run_time()}.count();
    if (service.mean_seconds == 0)
        service.mean_seconds = run;
    service.mean_seconds += mean_weight * (run - service.mean_seconds);
    backend.pause = std::chrono::nanoseconds{0};
}

template <placement_policy policy>
void basic_scheduler<policy>::pause_after_refusal(scheduler_backend& backend, time_point now) {
    // Several refusals of one batch count as one.
    if (now < backend.paused_until)
        return;
    backend.pause = std::clamp<std::chrono::nanoseconds>(2 * backend.pause, first_pause, longest_pause);
    backend.paused_until = now + backend.pause;
}

template <placement_policy policy>
void basic_scheduler<policy>::load_reported(const incarnation& agent, const std::string& service,
                                            const agent_load& load, time_point now) {
    const auto found = agent_numbers_.find(agent);
    const auto service_found = service_numbers_.find(service);
    if (found == agent_numbers_.end() || service_found == service_numbers_.end())
        return;
    const std::optional<std::uint32_t> place = backend_of(agents_[found->second], service_found->second);
    if (!place)
        return;
    scheduler_backend& backend = services_[service_found->second].backends[*place];
    const double total = static_cast<double>(load.running) + load.queued;
    backend.others = std::max(0.0, total - static_cast<double>(backend.in_flight.size()));
    backend.others_at = now;
    refresh(service_found->second, *place, now);
}

template <placement_policy policy>
void basic_scheduler<policy>::agent_changed(const agent_status& status, time_point now) {
    const auto [found, added] = agent_numbers_.try_emplace(status.agent, 0);
    if (added) {
        if (free_agents_.empty()) {
            free_agents_.push_back(static_cast<std::uint32_t>(agents_.size()));
            agents_.emplace_back();
        }
        found->second = free_agents_.back();
        free_agents_.pop_back();
        agents_[found->second] = scheduler_agent{};
        agents_[found->second].id = status.agent;
    }
    const std::uint32_t number = found->second;
    agents_[number].zone = status.zone;
    agents_[number].connected = true;
    agents_[number].draining = status.draining;
    agents_[number].zone_out = fleet_ && fleet_->is_zone_out(status.zone);
    for (const auto& [service, backend] : agents_[number].backends)
        services_[service].backends[backend].slots = 0;
    for (const service_capacity& capacity : status.services) {
        const std::uint32_t service = service_number(capacity.service);
        std::optional<std::uint32_t> backend = backend_of(agents_[number], service);
        if (!backend)
            backend = add_backend(number, service);
        services_[service].backends[*backend].slots = capacity.slots;
        services_[service].was_served = true;
    }
    refresh_agent(agents_[number], now);
}

template <placement_policy policy>
void basic_scheduler<policy>::agent_disconnected(const incarnation& agent, time_point now) {
    const auto found = agent_numbers_.find(agent);
    if (found == agent_numbers_.end())
        return;
    agents_[found->second].connected = false;
    refresh_agent(agents_[found->second], now);
}

template <placement_policy policy>
void basic_scheduler<policy>::agent_gone(const incarnation& agent, time_point now) {
    agent_disconnected(agent, now);
    const auto found = agent_numbers_.find(agent);
    if (found == agent_numbers_.end())
        return;
    for (const auto& [service, backend] : agents_[found->second].backends) {
        const std::vector<in_flight_task> lost = std::move(services_[service].backends[backend].in_flight);
        services_[service].backends[backend] = scheduler_backend{};
        services_[service].free_backends.push_back(backend);
        for (const in_flight_task& task : lost) {
            scheduler_job& record = jobs_[task.job];
            set_team_running(record.team, teams_[record.team].running - 1);
            --record.in_flight;
            release_if_done(task.job);
        }
    }
    agents_[found->second] = scheduler_agent{};
    free_agents_.push_back(found->second);
    agent_numbers_.erase(found);
}

template <placement_policy policy>
std::vector<assignment> basic_scheduler<policy>::take_assignments(time_point now) {
    run_wakeups(now);
    pending_assignments result;
    for (std::uint32_t service = 0; service < services_.size(); ++service) {
        if (services_[service].waiting > 0)
            assign_waiting(service, result, now);
    }
    return std::move(result.list);
}

template <placement_policy policy>
void basic_scheduler<policy>::assign_waiting(std::uint32_t service, pending_assignments& result,
                                             time_point now) {
    service_state& state = services_[service];
    while (const std::optional<fair_queue::selection> selected = state.queue.next()) {
        // The job table ends a job whose deadline has passed; until then its tasks are passed over.
        if (jobs_[selected->job].deadline <= now) {
            dequeue(selected->job);
            continue;
        }
        const std::optional<std::uint32_t> backend = state.placement.choose(random_);
        if (!backend)
            return;
        assign(service, *backend, *selected, result, now);
    }
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
    --state.waiting;
    --waiting_count_;

    const double charged = state.mean_seconds > 0 ? state.mean_seconds : initial_run_seconds;
    state.queue.charge(selected, record.is_request, charged);
    if (record.waiting() == 0)
        dequeue(selected.job);
    set_team_running(selected.team, teams_[selected.team].running + 1);
    state.backends[backend].in_flight.push_back({selected.job, index, static_cast<float>(charged), now});
    refresh(service, backend, now);
}

template <placement_policy policy> std::optional<time_point> basic_scheduler<policy>::next_wakeup() const {
    if (wakeups_.empty())
        return std::nullopt;
    return wakeups_.top().time;
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
    team.max_running = bound == 0 ? 0 : std::max<std::uint32_t>(bound / entries_, 1);
}

template <placement_policy policy>
scheduler_job& basic_scheduler<policy>::job_record(const job_id& job, const job_spec& spec,
                                                   time_point deadline, time_point now) {
    const auto [found, added] = job_numbers_.try_emplace(job, 0);
    if (!added) {
        jobs_[found->second].withdrawn = false;
        return jobs_[found->second];
    }
    if (free_jobs_.empty()) {
        free_jobs_.push_back(static_cast<std::uint32_t>(jobs_.size()));
        jobs_.emplace_back();
    }
    found->second = free_jobs_.back();
    free_jobs_.pop_back();
    scheduler_job& record = jobs_[found->second];
    record = scheduler_job{};
    record.id = &found->first;
    record.service = service_number(spec.service);
    record.team = team_number(spec.team);
    record.is_request = spec.is_request();
    record.deadline = deadline;
    const service_state& service = services_[record.service];
    const double rate = std::max(service.rate, 1.0);
    const double alone = static_cast<double>(spec.tasks.size()) / rate;
    record.order = seconds_between(time_point{}, now) + size_penalty * alone;
    scheduler_team& team = teams_[record.team];
    if (std::find(team.services.begin(), team.services.end(), record.service) == team.services.end()) {
        team.services.push_back(record.service);
        services_[record.service].queue.set_share(record.team, team.share);
        services_[record.service].queue.set_blocked(record.team, team.is_blocked());
    }
    return record;
}

template <placement_policy policy> void basic_scheduler<policy>::enqueue(std::uint32_t number) {
    scheduler_job& record = jobs_[number];
    if (record.queued || record.waiting() == 0)
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

template <placement_policy policy> void basic_scheduler<policy>::release_if_done(std::uint32_t number) {
    const scheduler_job& record = jobs_[number];
    if (record.waiting() > 0 || record.in_flight > 0 || record.awaiting_requeue > 0)
        return;
    job_numbers_.erase(job_numbers_.find(*record.id));
    jobs_[number] = scheduler_job{};
    free_jobs_.push_back(number);
}

template <placement_policy policy>
void basic_scheduler<policy>::set_team_running(std::uint32_t team, std::uint32_t running) {
    scheduler_team& state = teams_[team];
    state.running = running;
    if (state.max_running == 0 && !state.blocked)
        return;
    if (state.is_blocked() == state.blocked)
        return;
    state.blocked = state.is_blocked();
    for (const std::uint32_t service : state.services)
        services_[service].queue.set_blocked(team, state.blocked);
}

template <placement_policy policy>
std::optional<std::uint32_t> basic_scheduler<policy>::backend_of(const scheduler_agent& agent,
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
    if (state.free_backends.empty()) {
        state.free_backends.push_back(static_cast<std::uint32_t>(state.backends.size()));
        state.backends.emplace_back();
    }
    const std::uint32_t number = state.free_backends.back();
    state.free_backends.pop_back();
    state.backends[number].agent = agent;
    agents_[agent].backends.emplace_back(service, number);
    return number;
}

// Tasks that this entry may have at a backend server whatever the other entries do. Together the parts fit
// into the slots.
template <placement_policy policy>
std::uint32_t basic_scheduler<policy>::own_part(std::uint32_t slots) const {
    return std::max<std::uint32_t>(slots / entries_, 1);
}

template <placement_policy policy>
double basic_scheduler<policy>::run_seconds(const service_state& service,
                                            const scheduler_backend& backend) const {
    return backend.speed.expected_seconds(service.typical.expected_seconds(initial_run_seconds));
}

// Tells the placement policy whether the backend server may receive a task now, and its load.
template <placement_policy policy>
void basic_scheduler<policy>::refresh(std::uint32_t service, std::uint32_t number, time_point now) {
    service_state& state = services_[service];
    scheduler_backend& backend = state.backends[number];
    const double run = run_seconds(state, backend);
    const double half_life = std::max(run, shortest_load_half_life_seconds);
    const double others =
        backend.others *
        std::exp2(-seconds_between(backend.others_at, std::max(now, backend.others_at)) / half_life);

    const bool serving = backend.slots > 0 && agents_[backend.agent].takes_tasks();
    const double part = own_part(std::max<std::uint32_t>(backend.slots, 1));
    const double rate = serving ? std::max(part, backend.slots - others) / run : 0;
    state.serving += (serving ? 1 : 0) - (backend.is_serving ? 1 : 0);
    state.rate = state.serving == 0 ? 0 : state.rate + rate - backend.rate;
    backend.is_serving = serving;
    backend.rate = rate;

    const auto own = static_cast<double>(backend.in_flight.size());
    const double limit = std::max(part, backend.slots + prefetch_per_agent - others);
    const bool paused = now < backend.paused_until;
    if (serving && !paused && own + 1 <= limit) {
        state.placement.update(number, {backend.slots, own + others, run}, random_);
        return;
    }
    state.placement.remove(number);
    if (serving && paused)
        wake_at(service, number, backend.paused_until);
    else if (serving && own + 1 <= backend.slots + prefetch_per_agent)
        wake_at(service, number, after_seconds(now, half_life));
}

template <placement_policy policy>
void basic_scheduler<policy>::refresh_agent(const scheduler_agent& agent, time_point now) {
    for (const auto& [service, backend] : agent.backends)
        refresh(service, backend, now);
}

template <placement_policy policy>
void basic_scheduler<policy>::wake_at(std::uint32_t service, std::uint32_t number, time_point time) {
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
        // Replaced by an earlier one, or the backend server is gone.
        if (backend.wakeup != due.time)
            continue;
        backend.wakeup.reset();
        refresh(due.service, due.backend, now);
    }
}

template class basic_scheduler<placement_least_completion>;
template class basic_scheduler<placement_random>;
template class basic_scheduler<placement_two_choices>;
template class basic_scheduler<placement_credits>;

} // namespace persimmonstile
