#include "coordination/placement_credits.h"
#include "coordination/placement_random.h"
#include "coordination/placement_two_choices.h"
#include "coordination/scheduler.h"
#include "tests/scheduler_simulation.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace persimmonstile {
namespace {

constexpr std::uint32_t slots = 8;
const std::string service_name = "form";

job_spec spec_of(std::size_t tasks) {
    job_spec spec;
    spec.service = service_name;
    spec.team = "team";
    spec.tasks.resize(tasks);
    return spec;
}

std::shared_ptr<const fleet_view> fleet_of_one_service() {
    auto fleet = std::make_shared<fleet_view>();
    fleet->services[service_name].queue_limit = 10'000'000;
    fleet->teams["team"];
    return fleet;
}

// A scheduler with connected agents that are all busy and jobs of 10 tasks that wait.
class loaded_scheduler {
public:
    loaded_scheduler(std::uint32_t agents, std::uint32_t waiting_jobs) {
        scheduler_.set_fleet(fleet_of_one_service());
        for (std::uint32_t i = 0; i < agents; ++i) {
            agent_status status;
            status.agent = {"agent-" + std::to_string(i), i + 1};
            status.services = {{service_name, slots}};
            scheduler_.agent_changed(status, now_);
        }
        top_up(static_cast<std::size_t>(agents) * (slots + 2) + waiting_jobs * tasks_per_job);
        assign();
    }

    // One task ends, its agent reports, and the next task is assigned.
    void complete_one() {
        now_ += std::chrono::microseconds{10};
        if (running_.empty())
            return;
        const assignment done = running_.front();
        running_.pop_front();
        task_report report;
        report.index = done.tasks.front();
        report.status = task_status::succeeded;
        report.run_us = 100'000 + static_cast<std::int64_t>(next_job_ * 7919 % 100'000);
        scheduler_.task_returned(done.agent, done.job, report, now_);
        scheduler_.load_reported(done.agent, service_name, {slots, slots - 1, 0}, now_);
        assign();
    }

    void top_up(std::size_t tasks) {
        while (scheduler_.waiting_tasks() < tasks)
            scheduler_.admit(next_id(), spec_, now_ + std::chrono::hours{1}, now_);
    }

    job_id next_id() { return "0190163d-8694-739b-aea5-" + std::to_string(100'000'000 + next_job_++); }

    scheduler& target() { return scheduler_; }
    time_point now() const { return now_; }
    std::size_t waiting() const { return scheduler_.waiting_tasks(); }
    const job_spec& spec() const { return spec_; }

    static constexpr std::size_t tasks_per_job = 10;

private:
    void assign() {
        for (assignment& each : scheduler_.take_assignments(now_)) {
            for (const task_index index : each.tasks)
                running_.push_back({each.job, each.agent, {index}});
        }
    }

    scheduler scheduler_;
    job_spec spec_ = spec_of(tasks_per_job);
    std::deque<assignment> running_;
    time_point now_{std::chrono::seconds{1}};
    std::uint64_t next_job_ = 0;
};

// Cost of a report and the decision after it. Arguments: agents, waiting jobs.
void report_and_assign(benchmark::State& state) {
    loaded_scheduler loaded{static_cast<std::uint32_t>(state.range(0)),
                            static_cast<std::uint32_t>(state.range(1))};
    const std::size_t waiting = loaded.waiting();
    for (auto _ : state) {
        loaded.complete_one();
        if (loaded.waiting() + loaded_scheduler::tasks_per_job <= waiting)
            loaded.top_up(waiting);
    }
}
BENCHMARK(report_and_assign)->ArgsProduct({{11, 100, 1000, 12000}, {100, 10000}});

// Cost of cancelling the oldest of the waiting jobs and admitting another one. Argument: waiting jobs.
void admit_and_withdraw(benchmark::State& state) {
    loaded_scheduler loaded{11, 100};
    std::deque<job_id> waiting;
    const auto admit_one = [&] {
        waiting.push_back(loaded.next_id());
        loaded.target().admit(waiting.back(), loaded.spec(), loaded.now() + std::chrono::hours{1},
                              loaded.now());
    };
    for (std::int64_t i = 0; i < state.range(0); ++i)
        admit_one();
    for (auto _ : state) {
        loaded.target().withdraw(waiting.front());
        waiting.pop_front();
        admit_one();
    }
}
BENCHMARK(admit_and_withdraw)->Arg(100)->Arg(10000);

std::size_t heap_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Bytes on the heap for each added agent, team or job, measured at the allocator.
double bytes_each(std::uint32_t count, const std::function<void(std::uint32_t)>& add) {
    const std::size_t before = heap_bytes();
    for (std::uint32_t i = 0; i < count; ++i)
        add(i);
    return static_cast<double>(heap_bytes() - before) / count;
}

// Memory per agent (8 slots, one service), per agent with all slots busy, per team and per waiting job of 10
// tasks, in bytes.
void memory(benchmark::State& state) {
    for (auto _ : state) {
        constexpr std::uint32_t agents = 12000;
        constexpr std::uint32_t teams = 670;
        constexpr std::uint32_t jobs = 20000;
        auto fleet = std::make_shared<fleet_view>(*fleet_of_one_service());
        for (std::uint32_t i = 0; i < teams; ++i)
            fleet->teams["team-" + std::to_string(i)];
        scheduler target;
        target.set_fleet(fleet);
        const time_point now{std::chrono::seconds{1}};
        const time_point deadline = now + std::chrono::hours{1};
        state.counters["agent"] = bytes_each(agents, [&](std::uint32_t i) {
            agent_status status;
            status.agent = {"agent-" + std::to_string(i), i + 1};
            status.services = {{service_name, slots}};
            target.agent_changed(status, now);
        });
        job_spec spec = spec_of(loaded_scheduler::tasks_per_job);
        const auto admit = [&](const std::string& prefix, std::uint32_t i) {
            target.admit(prefix + std::to_string(100'000'000 + i), spec, deadline, now);
        };
        state.counters["team"] = bytes_each(teams, [&](std::uint32_t i) {
            spec.team = "team-" + std::to_string(i);
            admit("0190163d-8694-739b-aea5-", i);
        });
        spec.team = "team";
        const double job = bytes_each(jobs, [&](std::uint32_t i) { admit("0190163d-8694-739b-aea6-", i); });
        state.counters["job"] = job;
        state.counters["team"] = state.counters["team"] - job;
        state.counters["busy_agent"] = state.counters["agent"] + bytes_each(1, [&](std::uint32_t) {
                                                                     target.take_assignments(now);
                                                                 }) / agents;
    }
}
BENCHMARK(memory)->Iterations(1);

// Quality of the placement: 11 backend servers of speeds 1 to 4, 3 entries, fixed seeds, simulated time.
// Argument: load in percent. The counters are averages over the seeds:
//   p50, p99      quantiles of the response time relative to those of the ideal, over completed jobs
//   request_p99   the same, over single requests only
//   goodput       work of the jobs that end in the last two thirds of the run, relative to the capacity
//   wasted        tasks that agents refused, relative to all tasks sent, in percent
//   late, refused jobs that missed the deadline after admission or were refused, in percent
template <placement_policy policy> void compare_policies(benchmark::State& state) {
    constexpr int seeds = 5;
    std::map<std::string, double> sums;
    for (auto _ : state) {
        for (int seed = 1; seed <= seeds; ++seed) {
            const auto agents = eleven_agents();
            workload load;
            load.work_per_second = capacity_of(agents) * static_cast<double>(state.range(0)) / 100;
            load.seed = static_cast<std::uint32_t>(seed);
            const auto trace = make_trace(load);
            const auto ideal = ideal_responses(trace, agents);
            scheduler_simulation<policy> run{agents, load.entries, simulated_fleet()};
            const time_point start = run.now;
            run.submit_all(trace);
            run.run_until(start + load.duration + load.deadline);

            std::vector<double> responses;
            std::vector<double> ideals;
            std::vector<double> requests;
            std::vector<double> ideal_requests;
            double useful = 0;
            double late = 0;
            double refused = 0;
            for (std::size_t i = 0; i < trace.size(); ++i) {
                const simulated_outcome& outcome = run.outcomes[i];
                refused += outcome.refused ? 1 : 0;
                late += !outcome.refused && !outcome.response ? 1 : 0;
                if (!outcome.response)
                    continue;
                responses.push_back(*outcome.response);
                ideals.push_back(ideal[i]);
                if (trace[i].spec.is_request()) {
                    requests.push_back(*outcome.response);
                    ideal_requests.push_back(ideal[i]);
                }
                const time_point end =
                    trace[i].arrival + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                           std::chrono::duration<double>{*outcome.response});
                const bool counted = end >= start + load.duration / 3 && end < start + load.duration;
                for (const double work : trace[i].work)
                    useful += counted ? work : 0;
            }
            const auto jobs = static_cast<double>(trace.size());
            const double seconds = std::chrono::duration<double>{load.duration}.count();
            sums["p50"] += quantile(responses, 0.5) / quantile(ideals, 0.5);
            sums["p99"] += quantile(responses, 0.99) / quantile(ideals, 0.99);
            sums["request_p99"] += quantile(requests, 0.99) / quantile(ideal_requests, 0.99);
            sums["goodput"] += useful / (capacity_of(agents) * seconds * 2 / 3);
            sums["wasted"] +=
                100.0 * static_cast<double>(run.wasted_messages) / static_cast<double>(run.tasks_sent);
            sums["late"] += 100 * late / jobs;
            sums["refused"] += 100 * refused / jobs;
        }
    }
    for (const auto& [name, sum] : sums)
        state.counters[name] = sum / seeds;
}
#define COMPARE(policy)                                                                                      \
    BENCHMARK(compare_policies<policy>)                                                                      \
        ->Arg(30)                                                                                            \
        ->Arg(70)                                                                                            \
        ->Arg(90)                                                                                            \
        ->Arg(120)                                                                                           \
        ->Iterations(1)                                                                                      \
        ->Unit(benchmark::kMillisecond)
COMPARE(placement_random);
COMPARE(placement_two_choices);
COMPARE(placement_credits);
COMPARE(placement_least_completion);
#undef COMPARE

} // namespace
} // namespace persimmonstile
