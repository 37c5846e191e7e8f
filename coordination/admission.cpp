#include "coordination/admission.h"

#include <algorithm>
#include <cmath>

namespace persimmonstile {

namespace {

// Agents connect within a second of their start, and a new entry learns of them within that time.
constexpr std::chrono::milliseconds not_yet_known_retry_delay{200};
// A backend server that has left returns only after a restart or an operator's action, so this delay is
// longer.
constexpr std::chrono::milliseconds none_left_retry_delay{2000};

constexpr std::chrono::milliseconds min_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{30000};

// A team's waiting tasks may be up to this multiple of the free queue capacity. So one team alone can fill
// 80% of the queue, and k teams together 4k/(4k+1). Some capacity is always left for a team with no waiting
// tasks.
constexpr double team_queue_factor = 4;

job_failed refuse(std::string detail, std::chrono::milliseconds retry_after, bool is_at_capacity) {
    return {failure_reason::not_run, std::move(detail), retry_after.count(), is_at_capacity};
}

job_failed refuse_permanently(std::string detail) {
    return refuse(std::move(detail), std::chrono::milliseconds{0}, false);
}

std::chrono::milliseconds limit_retry_delay(double seconds) {
    const double limited = std::min(seconds, std::chrono::duration<double>{max_retry_delay}.count());
    const std::chrono::milliseconds hint{std::llround(limited * 1000)};
    return std::max(hint, min_retry_delay);
}

// Upper bound on the time until the last task of the job starts, in seconds.
double expected_wait(const admission_load& load, std::size_t tasks) {
    const double rate = std::max(load.rate, 1e-9);
    // Smaller jobs that arrive later use part of the rate while the job waits. max_overtaking_factor limits
    // the time for which they can do so.
    const double without_overtaking = wait_without_overtaking(load, tasks);
    const double with_overtaking = without_overtaking / (1 - std::min(load.smaller_job_fraction, 0.99));
    const double overtaking_seconds = load.max_overtaking_factor * static_cast<double>(tasks) / rate;
    return std::min(with_overtaking, without_overtaking + load.smaller_job_fraction * overtaking_seconds);
}

} // namespace

double wait_without_overtaking(const admission_load& load, std::size_t tasks) {
    const auto own_tasks = static_cast<double>(tasks);
    const double rate = std::max(load.rate, 1e-9);
    const double after_all = (static_cast<double>(load.service_waiting_tasks) + own_tasks) / rate;
    const double after_team = (load.team_tasks_ahead + own_tasks) / (rate * load.team_fraction);
    const double wait = std::min(after_all, after_team);
    if (load.team_rate_limit <= 0)
        return wait;
    return std::max(wait, (load.team_tasks_ahead + own_tasks) / load.team_rate_limit);
}

std::optional<job_failed> check_runnable(const fleet_view* fleet, const job_spec& spec,
                                         service_availability availability) {
    if (fleet == nullptr)
        return refuse("the configuration is not known yet", not_yet_known_retry_delay, false);
    const service_policy* service = fleet->find_service(spec.service);
    if (service == nullptr)
        return refuse_permanently("unknown service '" + spec.service + "'");
    if (!spec.team.empty() && fleet->find_team(spec.team) == nullptr)
        return refuse_permanently("unknown team '" + spec.team + "'");
    if (spec.tasks.size() > service->max_tasks)
        return refuse_permanently("the job has " + std::to_string(spec.tasks.size()) + " tasks, service '" +
                                  spec.service + "' allows " + std::to_string(service->max_tasks));
    if (spec.tasks.size() > service->queue_limit)
        return refuse_permanently("the job has more tasks than the queue of service '" + spec.service +
                                  "' holds");
    if (availability == service_availability::not_yet_known)
        return refuse("no agent of service '" + spec.service + "' has connected yet",
                      not_yet_known_retry_delay, false);
    if (availability == service_availability::none_left)
        return refuse("no agent serves '" + spec.service + "' any more", none_left_retry_delay, false);
    return std::nullopt;
}

std::optional<job_failed> check_queue(const admission_load& load, std::uint32_t queue_limit,
                                      std::size_t tasks) {
    const std::size_t free_capacity =
        queue_limit - std::min<std::size_t>(queue_limit, load.service_waiting_tasks);
    const double team_free_capacity = load.shares_queue
                                          ? team_queue_factor * static_cast<double>(free_capacity) -
                                                static_cast<double>(load.team_waiting_tasks)
                                          : static_cast<double>(free_capacity);
    const auto wanted = static_cast<double>(tasks);
    if (tasks <= free_capacity && wanted <= team_free_capacity)
        return std::nullopt;
    const double excess = wanted - std::min(static_cast<double>(free_capacity), team_free_capacity);
    const std::string full_queue =
        tasks > free_capacity ? "the queue of the service" : "the team's part of the queue";
    return refuse(full_queue + " is full", limit_retry_delay(excess / std::max(load.rate, 1e-9)), true);
}

std::optional<job_failed> check_deadline(const admission_load& load, std::size_t tasks,
                                         std::chrono::nanoseconds time_left) {
    if (load.run_seconds <= 0)
        return std::nullopt;
    const double seconds_left = std::chrono::duration<double>{time_left}.count();
    const double expected_end = expected_wait(load, tasks) + load.run_seconds;
    if (expected_end <= seconds_left)
        return std::nullopt;
    admission_load idle = load;
    idle.service_waiting_tasks = 0;
    idle.team_waiting_tasks = 0;
    idle.team_tasks_ahead = 0;
    idle.team_fraction = 1;
    idle.smaller_job_fraction = 0;
    const bool fits_when_idle = expected_wait(idle, tasks) + load.run_seconds <= seconds_left;
    return refuse("the job is not expected to end before its deadline",
                  limit_retry_delay(expected_end - seconds_left), fits_when_idle);
}

} // namespace persimmonstile
