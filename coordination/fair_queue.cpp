#include "coordination/fair_queue.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <numeric>

namespace persimmonstile {

namespace {

// After this many single requests of a team, one task of its waiting jobs is taken. Jobs thus get at least
// every fifth task, and a flood of requests cannot starve them.
constexpr std::uint32_t requests_per_job_task = 4;

// Middle of the range of job sizes in a class: class k holds jobs of 2^(k-1) to 2^k - 1 tasks.
double typical_size(std::size_t size_class) {
    return size_class == 0 ? 1 : 0.75 * static_cast<double>(std::size_t{1} << size_class);
}

} // namespace

fair_queue::flow& fair_queue::flow_of(team_number team) {
    if (team >= flows_.size())
        flows_.resize(team + std::size_t{1});
    return flows_[team];
}

void fair_queue::set_share(team_number team, double share) {
    flow& changed = flow_of(team);
    if (changed.active)
        active_shares_ += share - changed.share;
    changed.share = share;
}

void fair_queue::set_blocked(team_number team, bool blocked) {
    flow& changed = flow_of(team);
    changed.blocked = blocked;
    refresh(team, changed);
}

void fair_queue::refresh(team_number team, flow& changed) {
    const bool active = !changed.blocked && !changed.empty();
    if (active == changed.active)
        return;
    changed.active = active;
    if (active) {
        // A team earns no credit for the time in which it was blocked or had no waiting tasks.
        changed.start = std::max(changed.start, virtual_time_);
        active_.emplace(changed.start, team);
        active_shares_ += changed.share;
    } else {
        active_.erase({changed.start, team});
        active_shares_ = active_.empty() ? 0 : active_shares_ - changed.share;
    }
}

void fair_queue::move_start(team_number team, flow& changed, double start) {
    if (!changed.active) {
        changed.start = start;
        return;
    }
    active_.erase({changed.start, team});
    changed.start = start;
    active_.emplace(start, team);
}

void fair_queue::add(team_number team, job_number job, position where) {
    flow& changed = flow_of(team);
    (where.is_request ? changed.requests : changed.jobs).emplace(where.order, job);
    refresh(team, changed);
}

void fair_queue::remove(team_number team, job_number job, position where) {
    flow& changed = flow_of(team);
    (where.is_request ? changed.requests : changed.jobs).erase({where.order, job});
    refresh(team, changed);
}

std::optional<fair_queue::selection> fair_queue::next() const {
    if (active_.empty())
        return std::nullopt;
    const team_number team = active_.begin()->second;
    const flow& chosen = flows_[team];
    const bool jobs_due = chosen.consecutive_requests >= requests_per_job_task && !chosen.jobs.empty();
    const job_set& source = chosen.requests.empty() || jobs_due ? chosen.jobs : chosen.requests;
    return selection{team, source.begin()->second};
}

void fair_queue::charge(const selection& taken, bool is_request, double seconds) {
    flow& changed = flow_of(taken.team);
    const bool jobs_wait = !changed.jobs.empty();
    changed.consecutive_requests = is_request && jobs_wait ? changed.consecutive_requests + 1 : 0;
    virtual_time_ = std::max(virtual_time_, changed.start);
    move_start(taken.team, changed, changed.start + seconds / changed.share);
}

void fair_queue::adjust(team_number team, double seconds) {
    flow& changed = flow_of(team);
    const double start = changed.start + seconds / changed.share;
    move_start(team, changed, std::max(start, virtual_time_));
}

std::size_t fair_queue::size_class(bool is_request, std::size_t tasks) {
    return is_request ? 0 : std::min<std::size_t>(std::bit_width(tasks), size_classes - 1);
}

void fair_queue::change_waiting(team_number team, std::size_t size_class, std::int64_t difference) {
    std::uint32_t& count = flow_of(team).waiting[size_class];
    count = static_cast<std::uint32_t>(count + difference);
}

std::size_t fair_queue::waiting(team_number team) const {
    if (team >= flows_.size())
        return 0;
    const auto& counts = flows_[team].waiting;
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

double fair_queue::waiting_before(team_number team, std::size_t size_class, double order_per_task,
                                  double longest_wait) const {
    if (team >= flows_.size())
        return 0;
    const auto& counts = flows_[team].waiting;
    double before = 0;
    for (std::size_t other = 0; other < size_classes; ++other) {
        const double more_tasks = typical_size(other) - typical_size(size_class);
        const double needed_wait = order_per_task * more_tasks;
        // A request never waits for the jobs of its team.
        if (other <= size_class)
            before += counts[other];
        else if (size_class > 0 && needed_wait < longest_wait)
            before += counts[other] * (1 - needed_wait / longest_wait);
    }
    return before;
}

double fair_queue::competing_shares(team_number team) const {
    const bool counted = team < flows_.size() && flows_[team].active;
    return active_shares_ - (counted ? flows_[team].share : 0);
}

} // namespace persimmonstile
