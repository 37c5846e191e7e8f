#include "coordination/fair_queue.h"

#include <algorithm>
#include <cstddef>

namespace persimmonstile {

namespace {

// While jobs of the team wait, every fifth task is one of a job, so that a flood of requests cannot starve
// them.
constexpr std::uint32_t requests_per_job_task = 4;

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
        // An idle team earns no credit for the time in which it asked for nothing.
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

double fair_queue::competing_shares(team_number team) const {
    const bool counted = team < flows_.size() && flows_[team].active;
    return active_shares_ - (counted ? flows_[team].share : 0);
}

} // namespace persimmonstile
