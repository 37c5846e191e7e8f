#include "coordination/scheduler.h"

#include <algorithm>

namespace persimmonstile {

namespace {

constexpr std::uint32_t prefetch_per_agent = 1;

std::uint32_t slots_for(const agent_status& status, const std::string& service) {
    const auto matches = [&](const service_capacity& capacity) {
        return capacity.service == service;
    };
    const auto found = std::find_if(status.services.begin(), status.services.end(), matches);
    return found == status.services.end() ? 0 : found->slots;
}

} // namespace

void scheduler::set_fleet(std::shared_ptr<const fleet_view> fleet) {
    fleet_ = std::move(fleet);
}

void scheduler::set_entry_count(std::uint32_t) {}

std::optional<job_failed> scheduler::admit(const job_id& job, const job_spec& spec, time_point deadline,
                                           time_point now) {
    std::vector<task_index> tasks(spec.tasks.size());
    for (std::size_t i = 0; i < tasks.size(); ++i)
        tasks[i] = static_cast<task_index>(i);
    requeue(job, spec, tasks, deadline, now);
    return std::nullopt;
}

void scheduler::requeue(const job_id& job, const job_spec& spec, const std::vector<task_index>& tasks,
                        time_point deadline, time_point) {
    auto [it, added] = jobs_.try_emplace(job);
    if (added) {
        it->second.service = spec.service;
        it->second.team = spec.team;
        it->second.deadline = deadline;
        order_.push_back(job);
    }
    it->second.tasks.insert(it->second.tasks.end(), tasks.begin(), tasks.end());
    waiting_count_ += tasks.size();
}

void scheduler::withdraw(const job_id& job) {
    const auto found = jobs_.find(job);
    if (found == jobs_.end())
        return;
    waiting_count_ -= found->second.tasks.size();
    jobs_.erase(found);
    std::erase(order_, job);
}

void scheduler::task_returned(const incarnation& agent, const job_id&, const task_report&, time_point) {
    const auto found = agents_.find(agent);
    if (found != agents_.end() && found->second.outstanding > 0)
        --found->second.outstanding;
}

void scheduler::load_reported(const incarnation&, const std::string&, const agent_load&, time_point) {}

void scheduler::agent_changed(const agent_status& status, time_point) {
    agents_[status.agent].status = status;
}

void scheduler::agent_gone(const incarnation& agent, time_point) {
    agents_.erase(agent);
}

std::vector<assignment> scheduler::take_assignments(time_point) {
    std::vector<assignment> result;
    std::size_t blocked = 0;
    while (blocked < order_.size()) {
        const job_id job = order_.front();
        waiting_job& waiting = jobs_.at(job);
        agent_entry* best = nullptr;
        double best_load = 0;
        for (auto& [id, agent] : agents_) {
            const std::uint32_t slots = slots_for(agent.status, waiting.service);
            const bool usable =
                slots > 0 && !agent.status.draining && !(fleet_ && fleet_->is_zone_out(agent.status.zone));
            if (!usable || agent.outstanding >= slots + prefetch_per_agent)
                continue;
            const double load = static_cast<double>(agent.outstanding) / slots;
            if (best == nullptr || load < best_load) {
                best = &agent;
                best_load = load;
            }
        }
        order_.pop_front();
        if (best == nullptr) {
            order_.push_back(job);
            ++blocked;
            continue;
        }
        const auto same = [&](const assignment& a) {
            return a.job == job && a.agent == best->status.agent;
        };
        auto target = std::find_if(result.begin(), result.end(), same);
        if (target == result.end())
            target = result.insert(result.end(), assignment{job, best->status.agent, {}});
        target->tasks.push_back(waiting.tasks.front());
        waiting.tasks.pop_front();
        --waiting_count_;
        ++best->outstanding;
        if (waiting.tasks.empty())
            jobs_.erase(job);
        else
            order_.push_back(job);
    }
    return result;
}

} // namespace persimmonstile
