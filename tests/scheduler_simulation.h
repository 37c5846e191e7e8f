#pragma once

#include "coordination/scheduler.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// One submitted job. work is the work of each task, in seconds on a backend server of speed 1.
struct simulated_job {
    time_point arrival;
    job_spec spec;
    std::vector<double> work;
    std::uint32_t entry = 0;
};

// How a job ended; neither is set if it was admitted but did not complete.
struct simulated_outcome {
    // Response time in seconds, from submission to the last task result, if the job completed.
    std::optional<double> response;
    std::optional<job_failed> refused;
};

// An agent with its backend server. fails makes every task fail after 5 ms; hangs makes started tasks never
// end.
struct simulated_agent {
    double speed = 1;
    std::uint32_t slots = 8;
    std::string zone = "north";
    bool fails = false;
    bool hangs = false;
    // Slots that the agent announces; 0 announces the real number.
    std::uint32_t announced_slots = 0;
    std::uint32_t running = 0;
    std::uint32_t received = 0;
    std::uint32_t refused = 0;
    std::deque<std::function<void()>> queued;

    agent_load load() const {
        return {announced_slots > 0 ? announced_slots : slots, running,
                static_cast<std::uint32_t>(queued.size())};
    }
};

// Discrete-event simulation of callers, network and agents around the schedulers of several entries.
template <placement_policy policy = placement_least_completion> class scheduler_simulation {
public:
    static constexpr std::chrono::microseconds network_delay{1500};
    static constexpr const char* service = "form";

    scheduler_simulation(std::vector<simulated_agent> simulated, std::uint32_t entries,
                         const fleet_view& initial)
        : agents{std::move(simulated)}
        , fleet{initial} {
        for (std::uint32_t i = 0; i < entries; ++i) {
            schedulers.emplace_back(i + 1);
            schedulers.back().set_entry_count(entries);
        }
        publish();
        for (std::size_t i = 0; i < agents.size(); ++i) {
            agent_status status{
                agent_id(i), agents[i].zone, "", false, 0, {{service, agents[i].load().slots}}};
            for (auto& each : schedulers)
                each.agent_changed(status, now);
        }
        wakeups_.resize(entries);
    }

    void publish() {
        for (auto& each : schedulers)
            each.set_fleet(std::make_shared<const fleet_view>(fleet), now);
    }

    void schedule(time_point time, std::function<void()> action) {
        events_.push({time, sequence_++, std::move(action)});
    }

    void submit_all(std::vector<simulated_job> trace) {
        jobs = std::move(trace);
        outcomes.assign(jobs.size(), {});
        unfinished_tasks_.assign(jobs.size(), 0);
        for (std::size_t i = 0; i < jobs.size(); ++i)
            schedule(jobs[i].arrival, [this, i] { submit(i); });
    }

    void run_until(time_point end) {
        while (!events_.empty() && events_.top().time <= end) {
            now = events_.top().time;
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
        now = end;
    }

    static incarnation agent_id(std::size_t agent) { return {"agent-" + std::to_string(agent), agent + 1}; }

    std::vector<simulated_agent> agents;
    fleet_view fleet;
    std::deque<basic_scheduler<policy>> schedulers;
    std::vector<simulated_job> jobs;
    std::vector<simulated_outcome> outcomes;
    time_point now{std::chrono::seconds{1000}};
    std::uint64_t tasks_sent = 0;
    std::uint64_t wasted_messages = 0;
    double work_done = 0;

private:
    // An action at a time. Actions at the same time run in the order in which they were scheduled.
    struct event {
        time_point time;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const event& other) const {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };

    static job_id job_name(std::size_t job) { return "job-" + std::to_string(job); }
    static std::size_t job_index(const job_id& name) { return std::stoul(name.substr(4)); }

    void submit(std::size_t job) {
        const simulated_job& each = jobs[job];
        const auto refused =
            schedulers[each.entry].admit(job_name(job), each.spec, now + each.spec.deadline(), now);
        if (refused) {
            outcomes[job].refused = refused;
            return;
        }
        unfinished_tasks_[job] = each.spec.tasks.size();
        schedule(now + each.spec.deadline(), [this, job] { fail(job); });
        dispatch(each.entry);
    }

    void fail(std::size_t job) {
        if (unfinished_tasks_[job] == 0)
            return;
        unfinished_tasks_[job] = 0;
        schedulers[jobs[job].entry].withdraw(job_name(job));
    }

    void dispatch(std::uint32_t entry) {
        for (const assignment& each : schedulers[entry].take_assignments(now)) {
            const std::size_t agent = each.agent.number - 1;
            tasks_sent += each.tasks.size();
            schedule(now + network_delay, [this, agent, each] {
                for (const task_index index : each.tasks)
                    receive(agent, job_index(each.job), index);
            });
        }
        const auto wakeup = schedulers[entry].next_wakeup();
        if (!wakeup || (wakeups_[entry] > now && wakeups_[entry] <= *wakeup))
            return;
        wakeups_[entry] = *wakeup;
        schedule(*wakeup, [this, entry] { dispatch(entry); });
    }

    void receive(std::size_t number, std::size_t job, task_index index) {
        simulated_agent& agent = agents[number];
        ++agent.received;
        task_report report;
        report.index = index;
        report.status = task_status::not_started;
        report.reason = refusal::queue_full;
        if (fleet.is_zone_out(agent.zone)) {
            report.reason = refusal::zone_out;
            send(number, job, report);
        } else if (agent.running < agent.slots) {
            start(number, job, index);
        } else if (agent.queued.size() < agent.slots) {
            agent.queued.emplace_back([this, number, job, index] { start(number, job, index); });
        } else {
            send(number, job, report);
        }
    }

    void start(std::size_t number, std::size_t job, task_index index) {
        simulated_agent& agent = agents[number];
        ++agent.running;
        if (agent.hangs)
            return;
        const double seconds = agent.fails ? 0.005 : jobs[job].work[index] / agent.speed;
        const auto run_time = std::chrono::microseconds{std::llround(seconds * 1e6)};
        const auto status = agent.fails ? task_status::failed : task_status::succeeded;
        schedule(now + run_time, [this, number, job, index, run_time, status] {
            simulated_agent& done = agents[number];
            --done.running;
            work_done += status == task_status::succeeded ? jobs[job].work[index] : 0;
            if (!done.queued.empty()) {
                const auto next = done.queued.front();
                done.queued.pop_front();
                next();
            }
            task_report report;
            report.index = index;
            report.status = status;
            report.run_us = run_time.count();
            send(number, job, report);
        });
    }

    void send(std::size_t number, std::size_t job, const task_report& report) {
        agents[number].refused += report.status == task_status::not_started ? 1 : 0;
        wasted_messages += report.status == task_status::not_started ? 1 : 0;
        schedule(now + network_delay, [this, number, job, report, load = agents[number].load()] {
            const std::uint32_t entry = jobs[job].entry;
            schedulers[entry].task_returned(agent_id(number), job_name(job), report, now);
            schedulers[entry].load_reported(agent_id(number), service, load, now);
            process_report(job, report);
            dispatch(entry);
        });
    }

    void process_report(std::size_t job, const task_report& report) {
        if (unfinished_tasks_[job] == 0)
            return;
        const simulated_job& each = jobs[job];
        if (report.status == task_status::not_started)
            schedulers[each.entry].requeue(job_name(job), each.spec, {report.index},
                                           each.arrival + each.spec.deadline(), now);
        else if (report.status == task_status::failed)
            fail(job);
        else if (--unfinished_tasks_[job] == 0)
            outcomes[job].response = std::chrono::duration<double>{now - each.arrival}.count();
    }

    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    // Number of tasks without a result, by job; 0 once the job has ended.
    std::vector<std::size_t> unfinished_tasks_;
    std::vector<time_point> wakeups_;
};

inline fleet_view simulated_fleet(std::uint32_t teams = 1) {
    fleet_view fleet;
    fleet.services["form"];
    for (std::uint32_t i = 0; i < teams; ++i)
        fleet.teams["team-" + std::to_string(i)];
    return fleet;
}

// 11 backend servers with speeds from 1 to 4 in three availability zones, as in both current deployments.
inline std::vector<simulated_agent> eleven_agents() {
    std::vector<simulated_agent> agents(11);
    for (std::size_t i = 0; i < agents.size(); ++i) {
        agents[i].speed = 1 + 0.3 * static_cast<double>(i);
        agents[i].zone = std::vector<std::string>{"north", "middle", "south"}[i % 3];
    }
    return agents;
}

inline double capacity_of(const std::vector<simulated_agent>& agents) {
    double capacity = 0;
    for (const simulated_agent& agent : agents)
        capacity += agent.speed * agent.slots;
    return capacity;
}

// Parameters of a generated trace. Half of the submissions are requests of one task, half are jobs with a
// median of 8 tasks. Tasks take 50 ms to 5 s, with a median of 200 ms, on a backend server of the average
// speed of 2.5.
struct workload {
    double work_per_second = 1;
    std::chrono::seconds duration{60};
    std::chrono::milliseconds deadline{10000};
    std::uint32_t entries = 3;
    std::uint32_t seed = 1;
};

inline std::vector<simulated_job> make_trace(const workload& load) {
    std::mt19937_64 random{load.seed};
    std::lognormal_distribution<double> run_time{std::log(0.2), 0.8};
    std::lognormal_distribution<double> size{std::log(8.0), 1.0};
    std::exponential_distribution<double> gap{1};
    const double target_work = load.work_per_second * std::chrono::duration<double>{load.duration}.count();
    std::vector<simulated_job> trace;
    double generated_work = 0;
    while (generated_work < target_work) {
        simulated_job job;
        job.spec.service = "form";
        job.spec.team = "team-0";
        job.spec.method = random() % 2 == 0 ? "lookup" : "";
        const double tasks = job.spec.is_request() ? 1 : std::clamp(std::floor(size(random)), 1.0, 560.0);
        job.spec.tasks.resize(static_cast<std::size_t>(tasks));
        job.spec.deadline_ms = load.deadline.count();
        job.entry = static_cast<std::uint32_t>(random() % load.entries);
        for (std::size_t i = 0; i < job.spec.tasks.size(); ++i)
            job.work.push_back(2.5 * std::clamp(run_time(random), 0.05, 5.0));
        for (const double work : job.work)
            generated_work += work;
        trace.push_back(std::move(job));
    }
    // Independent uniform arrival times form a Poisson process.
    std::uniform_real_distribution<double> arrival_seconds{
        0, std::chrono::duration<double>{load.duration}.count()};
    std::vector<double> times(trace.size());
    for (double& time : times)
        time = arrival_seconds(random);
    std::sort(times.begin(), times.end());
    for (std::size_t i = 0; i < trace.size(); ++i)
        trace[i].arrival = time_point{std::chrono::seconds{1000}} +
                           std::chrono::nanoseconds{static_cast<std::int64_t>(times[i] * 1e9)};
    return trace;
}

// Returns the response times of an ideal central queue: no network delay, all speeds known, and each task
// goes in order of arrival to the fastest idle slot. Section 9 of docs/design.md compares against it.
inline std::vector<double> ideal_responses(const std::vector<simulated_job>& trace,
                                           const std::vector<simulated_agent>& agents) {
    std::multimap<double, double, std::greater<>> idle;
    for (const simulated_agent& agent : agents) {
        for (std::uint32_t slot = 0; slot < agent.slots; ++slot)
            idle.emplace(agent.speed, 0);
    }
    using busy_slot = std::pair<double, double>;
    std::priority_queue<busy_slot, std::vector<busy_slot>, std::greater<>> busy;
    std::vector<double> responses;
    double clock = 0;
    for (const simulated_job& job : trace) {
        const double arrival = std::chrono::duration<double>{job.arrival.time_since_epoch()}.count();
        double end = 0;
        for (const double work : job.work) {
            clock = std::max(clock, arrival);
            while (!busy.empty() && (busy.top().first <= clock || idle.empty())) {
                clock = std::max(clock, busy.top().first);
                idle.emplace(busy.top().second, 0);
                busy.pop();
            }
            const double speed = idle.begin()->first;
            idle.erase(idle.begin());
            busy.emplace(clock + work / speed, speed);
            end = std::max(end, clock + work / speed);
        }
        responses.push_back(end - arrival);
    }
    return responses;
}

inline double quantile(std::vector<double> values, double fraction) {
    if (values.empty())
        return 0;
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

} // namespace persimmonstile
