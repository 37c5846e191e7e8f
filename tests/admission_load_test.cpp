#include "coordination/entry_core.h"
#include "standins/kv_model.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// The jobs of one queue.
struct job_kind {
    std::string name;
    std::uint32_t priority;
    double jobs_per_second;
    std::uint32_t tasks;
    double task_seconds;
};

// What the callers of one kind got.
struct kind_result {
    int in_time = 0;
    int late = 0;
    int too_late = 0;
    int refused = 0;
    int on_arrival = 0;
    int uncertain = 0;
    // Refused jobs for which enough backend servers had idle capacity for long enough after their arrival.
    int wrongly_refused = 0;
    double max_refusal_ms = 0;
    double sum_refusal_ms = 0;
    // Retry-After of the refusals in milliseconds.
    std::map<std::int64_t, int> retries;

    kind_result& operator+=(const kind_result& other) {
        in_time += other.in_time;
        late += other.late;
        too_late += other.too_late;
        refused += other.refused;
        on_arrival += other.on_arrival;
        uncertain += other.uncertain;
        wrongly_refused += other.wrongly_refused;
        max_refusal_ms = std::max(max_refusal_ms, other.max_refusal_ms);
        sum_refusal_ms += other.sum_refusal_ms;
        for (const auto& [delay, count] : other.retries)
            retries[delay] += count;
        return *this;
    }

    double mean_refusal_ms() const { return sum_refusal_ms / std::max(1, refused); }
    void print(const std::string& kind) const {
        std::cout << "  " << kind << ": all " << all() << ", in time " << in_time << ", late " << late
                  << ", useless " << too_late << ", uncertain " << uncertain << ", refused " << refused
                  << " (on arrival " << on_arrival << ", wrongly " << wrongly_refused << ", mean "
                  << mean_refusal_ms() << " ms, longest " << max_refusal_ms << " ms)\n";
    }
    int useful() const { return in_time + late; }
    int all() const { return useful() + too_late + refused + uncertain; }
};

// Simulates one entry and a pool of equal backend servers, in which runs end after log-normal times, and the
// load of deployment B reduced to the share of one entry: the long jobs arrive at 2.5 times their rate for 7
// s, then the short ones at 1.8 times for 3 s.
class load_model {
public:
    load_model(bool forecasts, double utilization, std::uint64_t seed)
        : random_{seed}
        , entry_{{"entry", 5}, self(), limits(forecasts), "op/", seed, [] {
                     return 100U;
                 }} {
        double core_seconds = 0;
        for (const job_kind& kind : kinds_)
            core_seconds += kind.jobs_per_second * kind.tasks * kind.task_seconds * task_millicores / 1000.0;
        // The utilization is that of the peak of the long jobs.
        double peak = core_seconds + (long_peak - 1) * kinds_[2].jobs_per_second * kinds_[2].tasks *
                                         kinds_[2].task_seconds * task_millicores / 1000.0;
        // Of a backend server with 32 cores, 9 tasks of 3.5 cores use 31.5.
        agents_ = static_cast<std::size_t>(std::lround(peak / (31.5 * utilization)));
    }

    void run() {
        prepare();
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind)
            schedule_arrival(kind);
        every(20ms, [this] { entry_.tick(now_, wall()); });
        every(60ms, [this] {
            for (std::size_t agent = 0; agent < agents_; ++agent)
                report(agent, {});
        });
        every(idle_interval, [this] { idle_.push_back(idle_slots()); });
        while (!events_.empty() && events_.top().when < begin_ + total_time + 6s) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
            collect();
        }
        count_wrong_refusals();
    }

    const std::map<std::string, kind_result>& results() const { return results_; }
    const std::map<std::string, int>& decisions() const { return decisions_; }
    // Core-seconds of the runs of jobs whose callers got a result while it was useful.
    double useful_core_seconds() const { return useful_core_seconds_; }

private:
    static constexpr std::int64_t task_millicores = 3500;
    static constexpr std::int64_t server_millicores = 32000;
    static constexpr double long_peak = 2.5;
    static constexpr double short_peak = 1.8;
    static constexpr milliseconds peak_begin{3000};
    static constexpr milliseconds long_peak_end{10000};
    static constexpr milliseconds short_peak_end{13000};
    static constexpr milliseconds total_time{15000};
    static constexpr milliseconds idle_interval{5};
    static constexpr double max_stretch = 1.6;
    static constexpr milliseconds slack{60};

    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    struct submitted_job {
        std::size_t kind = 0;
        time_point at{};
        job_id id;
    };

    static entry_record self() {
        entry_record result;
        result.session.name = "entry";
        result.peer_address = "entry:1";
        result.zone = "zone";
        return result;
    }

    static entry_limits limits(bool forecasts) {
        entry_limits result;
        result.forecasts_admission = forecasts;
        return result;
    }

    wall_time wall() const { return wall_time{std::chrono::hours{24 * 365 * 50}} + (now_ - begin_); }

    void schedule(boot_clock::duration delay, std::function<void()> action) {
        events_.push({now_ + delay, ++last_order_, std::move(action)});
    }
    void every(milliseconds interval, const std::function<void()>& action) {
        schedule(interval, [=, this] {
            action();
            every(interval, action);
        });
    }
    static boot_clock::duration seconds(double value) {
        return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{value});
    }

    void prepare() {
        store_.put("op/config", std::string{"configured"});
        collect();
        auto config = std::make_shared<deployment_config>();
        config->version = 1;
        for (const job_kind& kind : kinds_) {
            queue_policy queue;
            queue.name = kind.name;
            queue.service = "service";
            queue.max_attempts = 2;
            queue.priority = kind.priority;
            queue.max_stretch = max_stretch;
            queue.slack = slack;
            config->queues.push_back(queue);
        }
        entry_.take_config_change();
        entry_.set_config(config, now_);
        free_.assign(agents_, {server_millicores, 1 << 20, 0});
        received_.assign(agents_, 0);
        for (std::size_t agent = 0; agent < agents_; ++agent) {
            entry_.link_opened(agent + 1, false, now_);
            agent_profile profile;
            profile.agent = {"agent" + std::to_string(agent), 1};
            profile.zone = "zone";
            profile.accepts_runs = true;
            profile.backend.id = "backend" + std::to_string(agent);
            profile.backend.life = 1;
            profile.backend.service = "service";
            profile.backend.zone = "zone";
            profile.backend.capacity = free_[agent];
            profile.reported_capacity.free = free_[agent];
            entry_.received(agent + 1, profile, now_, wall());
            entry_.received(agent + 1, view_ping{}, now_, wall());
            entry_.received(agent + 1, run_inventory{{"entry", 5}, {}, 0}, now_, wall());
        }
        collect();
    }

    double rate_factor(std::size_t kind) const {
        const auto time = now_ - begin_;
        if (kind == 2 && time >= peak_begin && time < long_peak_end)
            return long_peak;
        if (kind == 0 && time >= long_peak_end && time < short_peak_end)
            return short_peak;
        return 1;
    }

    void schedule_arrival(std::size_t kind) {
        std::exponential_distribution<double> gap{kinds_[kind].jobs_per_second * rate_factor(kind)};
        schedule(seconds(gap(random_)), [this, kind] {
            if (now_ - begin_ < total_time) {
                submit(kind);
                schedule_arrival(kind);
            }
        });
    }

    void submit(std::size_t kind) {
        job_submission request;
        request.token = ++last_token_;
        request.job = "job" + std::to_string(random_());
        request.queue = kinds_[kind].name;
        request.answer_by = now_ + 20s;
        request.plan.is_durable = false;
        job_step step;
        step.task_count = kinds_[kind].tasks;
        step.task_needs = {task_millicores, 64, 0};
        // Estimates are off by 40%.
        std::normal_distribution<double> error{0, 0.4};
        step.estimate_ms = std::max<std::int64_t>(
            1, std::llround(1000 * kinds_[kind].task_seconds * std::exp(error(random_))));
        request.plan.steps.push_back(step);
        jobs_[request.token] = {kind, now_, request.job};
        entry_.submit(request, now_, wall());
    }

    // Log-normal with a spread of 0.4; 3% of the tasks take up to 7 times the mean.
    // Each task takes the same time whenever it runs, so that the load does not depend on the decisions.
    static double run_seconds(double mean, const task_ref& task) {
        std::mt19937_64 random{std::hash<std::string>{}(task.job) + task.index};
        std::lognormal_distribution<double> spread{-0.08, 0.4};
        std::uniform_real_distribution<double> uniform{0, 1};
        const double factor = uniform(random) < 0.03 ? 1 + 6 * uniform(random) : spread(random);
        return mean * factor;
    }

    void collect() {
        entry_output output = entry_.take_output(now_);
        for (const store_request& request : output.store_calls) {
            if (const auto reply = store_.call(request.call, now_))
                schedule(1ms, [this, id = request.id, answer = *reply] {
                    entry_.store_replied(id, answer, now_, wall());
                });
        }
        for (const auto& [link, message] : output.messages) {
            const std::size_t agent = link - 1;
            if (const auto* start = std::get_if<run_start_request>(&message))
                schedule(1ms, [this, agent, request = *start] { start_runs(agent, request); });
            if (const auto* stop = std::get_if<run_stop_request>(&message)) {
                for (const run_ref& run : stop->runs)
                    schedule(1ms, [this, agent, run] { end_run(agent, run, run_state::stopped); });
            }
        }
        for (const decision& made : output.decisions)
            ++decisions_[std::string{made.what}];
        for (const caller_reply& reply : output.replies)
            answer(reply);
    }

    void start_runs(std::size_t agent, const run_start_request& request) {
        ++received_[agent];
        const auto job = std::find_if(jobs_.begin(), jobs_.end(),
                                      [&](const auto& entry) { return entry.second.id == request.job; });
        std::vector<run_report> reports;
        for (const run_spec& start : request.runs) {
            const run_ref run{{request.job, start.occurrence, start.step, start.index}, start.run};
            run_report report;
            report.run = run;
            if (!start.needs.fits_in(free_[agent])) {
                report.state = run_state::refused;
                report.reason = run_refusal::no_room;
            } else {
                free_[agent] -= start.needs;
                report.state = run_state::running;
                running_[run] = {agent, start.needs, now_};
                const double mean = job == jobs_.end() ? 0.05 : kinds_[job->second.kind].task_seconds;
                schedule(seconds(run_seconds(mean, run.task)),
                         [this, agent, run] { end_run(agent, run, run_state::done); });
            }
            reports.push_back(report);
        }
        report_runs(agent, reports);
    }

    void end_run(std::size_t agent, const run_ref& run, run_state state) {
        const auto found = running_.find(run);
        if (found == running_.end())
            return;
        run_report report;
        report.run = run;
        report.state = state;
        report.run_us = std::chrono::duration_cast<microseconds>(now_ - found->second.started).count();
        core_seconds_[run.task.job] += static_cast<double>(report.run_us) / 1e6 *
                                       static_cast<double>(found->second.needs.cpu_millicores) / 1000;
        free_[agent] += found->second.needs;
        running_.erase(found);
        report_runs(agent, {report});
    }

    void report_runs(std::size_t agent, const std::vector<run_report>& reports) {
        run_reports message;
        message.reports = reports;
        message.reported_capacity.free = free_[agent];
        message.reported_capacity.received_starts = received_[agent];
        schedule(1ms, [this, agent, message] { entry_.received(agent + 1, message, now_, wall()); });
    }
    void report(std::size_t agent, const std::vector<run_report>& reports) { report_runs(agent, reports); }

    // Tasks that fit in the idle capacity.
    std::uint32_t idle_slots() const {
        std::int64_t slots = 0;
        for (const resources& free : free_)
            slots += free.cpu_millicores / task_millicores;
        return static_cast<std::uint32_t>(slots);
    }

    // Counts the refused jobs that a perfect forecast would have admitted: enough capacity for all tasks was
    // idle for their mean run time while the job was useful. Several refused jobs may count on the same
    // capacity.
    void count_wrong_refusals() {
        for (const submitted_job& job : refused_) {
            const job_kind& kind = kinds_[job.kind];
            const auto needed = static_cast<std::size_t>(kind.task_seconds / 0.005) + 1;
            const auto first = static_cast<std::size_t>((job.at - begin_) / idle_interval);
            const auto last = first + static_cast<std::size_t>(3 * objective_ms(kind) /
                                                               static_cast<double>(idle_interval.count()));
            std::size_t idle = 0;
            for (std::size_t i = first; i < std::min(last, idle_.size()) && idle < needed; ++i)
                idle = idle_[i] >= kind.tasks ? idle + 1 : 0;
            results_[kind.name].wrongly_refused += idle >= needed ? 1 : 0;
        }
    }

    static double objective_ms(const job_kind& kind) {
        return 1000 * max_stretch * kind.task_seconds + static_cast<double>(slack.count());
    }

    void answer(const caller_reply& reply) {
        const auto found = jobs_.find(reply.token);
        if (found == jobs_.end())
            return;
        const job_kind& kind = kinds_[found->second.kind];
        kind_result& result = results_[kind.name];
        const double ms = std::chrono::duration<double, std::milli>{now_ - found->second.at}.count();
        const double objective = objective_ms(kind);
        if (reply.kind == caller_reply_kind::refused) {
            ++result.refused;
            result.sum_refusal_ms += ms;
            result.max_refusal_ms = std::max(result.max_refusal_ms, ms);
            result.on_arrival += ms == 0 ? 1 : 0;
            if (ms == 0 && reply.retry_after > 0ms)
                ++result.retries[reply.retry_after.count()];
            refused_.push_back(found->second);
        } else if (reply.kind != caller_reply_kind::state) {
            ++result.uncertain;
        } else if (ms <= objective) {
            ++result.in_time;
        } else if (ms <= 3 * objective) {
            ++result.late;
        } else {
            ++result.too_late;
        }
        if (reply.kind == caller_reply_kind::state && ms <= 3 * objective)
            useful_core_seconds_ += core_seconds_[found->second.id];
        core_seconds_.erase(found->second.id);
        jobs_.erase(found);
    }

    struct run_in_progress {
        std::size_t agent = 0;
        resources needs;
        time_point started{};
    };

    // A sixth of the rates of deployment B, for an entry and its agents.
    const std::vector<job_kind> kinds_{
        {"short", 0, 30, 8, 0.051}, {"middle", 1, 88, 2, 0.17}, {"long", 2, 5.5, 4, 0.76}};
    const time_point begin_{100s};
    time_point now_ = begin_;
    std::mt19937_64 random_;
    kv_model store_;
    entry_core entry_;
    std::size_t agents_ = 0;
    std::priority_queue<event> events_;
    std::uint64_t last_order_ = 0;
    caller_token last_token_ = 0;
    std::map<caller_token, submitted_job> jobs_;
    std::map<run_ref, run_in_progress> running_;
    std::vector<resources> free_;
    std::vector<std::uint64_t> received_;
    std::map<job_id, double> core_seconds_;
    std::map<std::string, kind_result> results_;
    double useful_core_seconds_ = 0;
    std::map<std::string, int> decisions_;
    std::vector<submitted_job> refused_;
    // Idle slots at each idle_interval.
    std::vector<std::uint32_t> idle_;
};

// The results of several histories of the same load, by kind and in total.
struct load_result {
    std::map<std::string, kind_result> kinds;
    kind_result total;
    double useful_core_seconds = 0;
    std::map<std::string, int> decisions;
};

load_result play(bool forecasts, double utilization) {
    load_result sum;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        load_model model{forecasts, utilization, seed};
        model.run();
        for (const auto& [kind, result] : model.results()) {
            sum.kinds[kind] += result;
            sum.total += result;
        }
        sum.useful_core_seconds += model.useful_core_seconds();
        for (const auto& [what, count] : model.decisions())
            sum.decisions[what] += count;
    }
    std::cout << (forecasts ? "forecast" : "wait") << " at " << utilization << ", useful core-seconds "
              << sum.useful_core_seconds << '\n';
    for (const auto& [kind, result] : sum.kinds)
        result.print(kind);
    return sum;
}

// Guards against refusals of a short peak that the capacity can serve: a refusal costs its caller the job.
// Of a hundred jobs, at most one is refused or aborted, and none of the highest priority.
TEST(admission_load, hardly_refuses_below_capacity) {
    const load_result before = play(false, 0.86);
    const load_result after = play(true, 0.86);
    EXPECT_LE(100 * (after.total.refused + after.total.uncertain), after.total.all());
    EXPECT_EQ(after.kinds.at("short").refused, 0);
    EXPECT_GE(after.total.useful(), before.total.useful() - after.total.all() / 100);
    EXPECT_GE(after.kinds.at("short").in_time, before.kinds.at("short").in_time);
}

// Guards against callers that wait for a refusal, and against refusals on arrival that serve fewer jobs.
TEST(admission_load, refuses_on_arrival_above_capacity) {
    const load_result before = play(false, 1.2);
    load_result after = play(true, 1.2);
    EXPECT_GT(2 * after.total.on_arrival, after.total.refused);
    EXPECT_LT(2 * after.total.mean_refusal_ms(), before.total.mean_refusal_ms());
    EXPECT_EQ(after.kinds.at("short").refused, 0);
    EXPECT_GE(after.kinds.at("short").in_time, before.kinds.at("short").in_time);
    EXPECT_GE(after.useful_core_seconds, 0.95 * before.useful_core_seconds);
    EXPECT_GE(after.total.useful(), 0.95 * before.total.useful());
    EXPECT_LE(50 * after.total.wrongly_refused, after.total.all());
    // The decisions are logged under their reasons, and callers return at different times.
    EXPECT_EQ(after.decisions["refused a job on arrival, cannot end in time"] +
                  after.decisions["refused a job on arrival, queue does not shrink"],
              after.total.on_arrival);
    EXPECT_GT(after.decisions["admitted a job against the forecast"], 0);
    EXPECT_GT(after.total.retries.size(), 1U);
    for (const auto& [delay, count] : after.total.retries)
        EXPECT_TRUE(delay >= 1000 && delay % 1000 == 0) << delay;
}

} // namespace
} // namespace persimmonstile
