#include "coordination/fair_queue.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <numeric>

namespace persimmonstile {

namespace {

// After this many single requests of a team, one task of its waiting jobs is taken. Jobs thus get at least
// every fifth task, however many requests arrive.
constexpr std::uint32_t requests_per_job_task = 4;

// Middle of the range of job sizes in a class: class k holds jobs of 2^(k-1) to 2^k - 1 tasks.
double typical_size(std::size_t size_class) {
    return size_class == 0 ? 1 : 0.75 * static_cast<double>(std::size_t{1} << size_class);
}

} // namespace

fair_queue::team_queue& fair_queue::team_queue_of(team_number team) {
    if (team >= team_queues_.size())
        team_queues_.resize(team + std::size_t{1});
    return team_queues_[team];
}

void fair_queue::set_share(team_number team, double share) {
    team_queue& changed = team_queue_of(team);
    if (changed.is_active)
        active_shares_ += share - changed.share;
    changed.share = share;
}

void fair_queue::set_blocked(team_number team, bool is_blocked) {
    team_queue& changed = team_queue_of(team);
    changed.is_blocked = is_blocked;
    update_active(team, changed);
}

void fair_queue::update_active(team_number team, team_queue& changed) {
    const bool is_active = !changed.is_blocked && !changed.empty();
    if (is_active == changed.is_active)
        return;
    changed.is_active = is_active;
    if (is_active) {
        // A team earns no credit for the time in which it was blocked or had no waiting tasks.
        changed.virtual_start = std::max(changed.virtual_start, virtual_time_);
        active_teams_.emplace(changed.virtual_start, team);
        active_shares_ += changed.share;
    } else {
        active_teams_.erase({changed.virtual_start, team});
        active_shares_ = active_teams_.empty() ? 0 : active_shares_ - changed.share;
    }
}

void fair_queue::set_virtual_start(team_number team, team_queue& changed, double virtual_start) {
    if (!changed.is_active) {
        changed.virtual_start = virtual_start;
        return;
    }
    active_teams_.erase({changed.virtual_start, team});
    changed.virtual_start = virtual_start;
    active_teams_.emplace(virtual_start, team);
}

void fair_queue::add(team_number team, job_number job, sort_key key) {
    team_queue& changed = team_queue_of(team);
    (key.is_request ? changed.requests : changed.jobs).emplace(key.order, job);
    update_active(team, changed);
}

void fair_queue::remove(team_number team, job_number job, sort_key key) {
    team_queue& changed = team_queue_of(team);
    (key.is_request ? changed.requests : changed.jobs).erase({key.order, job});
    update_active(team, changed);
}

std::optional<fair_queue::selection> fair_queue::next() const {
    if (active_teams_.empty())
        return std::nullopt;
    const team_number team = active_teams_.begin()->second;
    const team_queue& chosen = team_queues_[team];
    const bool are_jobs_due = chosen.consecutive_requests >= requests_per_job_task && !chosen.jobs.empty();
    const job_set& source = chosen.requests.empty() || are_jobs_due ? chosen.jobs : chosen.requests;
    return selection{team, source.begin()->second};
}

void fair_queue::charge(const selection& taken, bool is_request, double seconds) {
    team_queue& changed = team_queue_of(taken.team);
    const bool jobs_wait = !changed.jobs.empty();
    changed.consecutive_requests = is_request && jobs_wait ? changed.consecutive_requests + 1 : 0;
    virtual_time_ = std::max(virtual_time_, changed.virtual_start);
    set_virtual_start(taken.team, changed, changed.virtual_start + seconds / changed.share);
}

void fair_queue::adjust_charge(team_number team, double seconds) {
    team_queue& changed = team_queue_of(team);
    const double virtual_start = changed.virtual_start + seconds / changed.share;
    set_virtual_start(team, changed, std::max(virtual_start, virtual_time_));
}

std::size_t fair_queue::size_class(bool is_request, std::size_t tasks) {
    return is_request ? 0 : std::min<std::size_t>(std::bit_width(tasks), size_classes - 1);
}

void fair_queue::change_waiting_count(team_number team, std::size_t size_class, std::int64_t difference) {
    std::uint32_t& count = team_queue_of(team).waiting_count[size_class];
    count = static_cast<std::uint32_t>(count + difference);
}

std::size_t fair_queue::waiting_count(team_number team) const {
    if (team >= team_queues_.size())
        return 0;
    const auto& counts = team_queues_[team].waiting_count;
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

double fair_queue::waiting_before(team_number team, std::size_t size_class, double order_per_task,
                                  double max_wait) const {
    if (team >= team_queues_.size())
        return 0;
    const auto& counts = team_queues_[team].waiting_count;
    double before = 0;
    for (std::size_t other = 0; other < size_classes; ++other) {
        const double more_tasks = typical_size(other) - typical_size(size_class);
        const double needed_wait = order_per_task * more_tasks;
        // A request never waits for the jobs of its team.
        if (other <= size_class)
            before += counts[other];
        else if (size_class > 0 && needed_wait < max_wait)
            before += counts[other] * (1 - needed_wait / max_wait);
    }
    return before;
}

double fair_queue::competing_shares(team_number team) const {
    const bool is_counted = team < team_queues_.size() && team_queues_[team].is_active;
    return active_shares_ - (is_counted ? team_queues_[team].share : 0);
}

} // namespace persimmonstile
