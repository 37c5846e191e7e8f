#pragma once

#include "coordination/agent_directory.h"
#include "coordination/job_ledger.h"
#include "coordination/run_planner.h"
#include "coordination/run_time_model.h"
#include "state/deployment_config.h"

#include <algorithm>
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
#include <tuple>
#include <utility>
#include <vector>

namespace persimmonstile {

// Simulates entries that place the tasks of their own jobs at shared agents, by reports that are up to the
// report interval old. The planners, ledgers and run time models are those of the entries; agents and
// callers are reduced to what placement depends on. A run depends only on its options.
class placement_simulation {
public:
    // A kind of job, with its share of the jobs.
    struct job_kind {
        std::string queue;
        double share = 1;
        std::uint32_t tasks = 1;
        double seconds = 0.1;
        std::int64_t millicores = 3500;
        // Fraction of the jobs of this kind whose data is on some rack, and of these the fraction whose data
        // is on the first one; the others are spread evenly.
        double data_fraction = 0;
        double first_rack_fraction = 0;
    };

    struct options {
        bool forecasts_placement = true;
        std::uint64_t seed = 1;
        int entries = 10;
        int agents = 60;
        int agents_per_rack = 10;
        // Slowness of the backend servers, repeated over the agents, and their capacity.
        std::vector<double> slowness{1.25, 1, 0.8};
        std::vector<std::int64_t> millicores{32000, 32000, 48000};
        double remote_data_factor = 1.5;
        // Fraction of the capacity that the jobs need if all tasks run on the rack of their data.
        double utilization = 0.5;
        milliseconds duration{5000};
        milliseconds report_interval{100};
        milliseconds queue_timeout{30};
        // Agents count the runs that they have accepted.
        bool counts_accepted_runs = false;
        // Agents report when capacity is expected to be released.
        bool reports_releases = false;
        std::vector<job_kind> kinds{
            {"short", 181, 8, 0.051}, {"long", 33, 4, 0.76}, {"middle", 528, 2, 0.17}};
    };

    struct kind_result {
        int jobs = 0;
        int late = 0;
        // Late jobs that would have been in time on a typical backend server without any delay.
        int avoidably_late = 0;
        // Jobs of which a run was returned.
        int with_return = 0;
        int unfinished = 0;
        // Sum and maximum over jobs of the time until the first start of a run.
        double wait_seconds = 0;
        double max_wait_seconds = 0;
        double response_seconds = 0;
    };

    struct results {
        std::map<std::string, kind_result> kinds;
        int starts = 0;
        int returns = 0;
        double core_seconds = 0;
        double remote_core_seconds = 0;
        // Capacity that is free while a task waits at an entry.
        double idle_core_seconds = 0;
    };

    explicit placement_simulation(const options& chosen)
        : options_{chosen}
        , random_{chosen.seed} {
        for (const job_kind& kind : options_.kinds) {
            queue_policy queue;
            queue.name = kind.queue;
            queue.service = "service";
            queue.max_stretch = 1.6;
            queue.slack = milliseconds{60};
            config_.queues.push_back(queue);
        }
        for (int i = 0; i < options_.entries; ++i)
            entries_.push_back(std::make_unique<entry>(options_, i));
        for (int i = 0; i < options_.agents; ++i)
            make_agent(i);
        for (std::size_t i = 0; i < agents_.size() * entries_.size(); ++i)
            at(random_time(options_.report_interval), [this, i] {
                report_regularly(static_cast<int>(i % agents_.size()), static_cast<int>(i / agents_.size()));
            });
        submit_next();
    }

    results run() {
        const time_point end = begin + options_.duration;
        while (!events_.empty() && events_.top().when < end + drain) {
            const event next = events_.top();
            events_.pop();
            if (now_ >= begin + warm_up && now_ < end)
                count_idle(next.when);
            now_ = next.when;
            next.act();
        }
        for (const auto& entry : entries_) {
            for (const auto& [id, job] : entry->ledger.jobs())
                finish(job, true);
        }
        return results_;
    }

    static constexpr time_point begin{std::chrono::seconds{100}};
    // Jobs that are submitted before are not counted: the entries have to learn the speeds.
    static constexpr milliseconds warm_up{1500};
    // Time for the last jobs to end.
    static constexpr milliseconds drain{3000};

private:
    struct event {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const event& other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    struct entry {
        entry(const options& chosen, int index)
            : planner{"zone", chosen.remote_data_factor,
                      chosen.seed + 1000 + static_cast<std::uint64_t>(index), chosen.forecasts_placement} {}
        job_ledger ledger;
        agent_directory agents;
        run_time_model times;
        run_planner planner;
        // Tasks wait for capacity.
        bool has_waiting = false;
    };

    struct simulated_run {
        int entry = 0;
        run_ref run;
        resources needs;
        // Time on this backend server.
        double seconds = 0;
        // What the agent expects, from the mean run time of the kind.
        double expected_seconds = 0;
        time_point arrived{};
        bool is_remote = false;
    };

    struct agent {
        double slowness = 1;
        std::string rack;
        resources capacity;
        resources held;
        std::deque<simulated_run> queue;
        std::vector<std::uint64_t> received_starts;
        std::uint64_t accepted_runs = 0;
        // Expected ends of the runs in progress, and their needs.
        std::multimap<time_point, resources> expected_ends;
    };

    // Adds the capacity that stays free until `until` while a task waits at an entry.
    void count_idle(time_point until) {
        const bool is_waiting = std::any_of(entries_.begin(), entries_.end(),
                                            [](const auto& owner) { return owner->has_waiting; });
        if (is_waiting)
            results_.idle_core_seconds += std::chrono::duration<double>{until - now_}.count() *
                                          static_cast<double>(total_millicores_ - held_millicores_) / 1000;
    }

    void at(time_point when, std::function<void()> act) {
        events_.push({when, ++last_order_, std::move(act)});
    }
    time_point random_time(milliseconds range) {
        return begin + std::chrono::duration_cast<boot_clock::duration>(range * uniform());
    }
    double uniform() { return std::uniform_real_distribution<double>{0, 1}(random_); }
    time_point after(double seconds) const {
        return now_ +
               std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>{seconds});
    }

    void make_agent(int index) {
        agent made;
        const auto number = static_cast<std::size_t>(index);
        // Racks have backend servers of all kinds.
        made.slowness = options_.slowness[number % options_.slowness.size()];
        made.capacity.cpu_millicores = options_.millicores[number % options_.millicores.size()];
        made.capacity.memory_mb = 1000000;
        made.rack = "rack" + std::to_string(index / options_.agents_per_rack);
        made.received_starts.resize(entries_.size());
        for (const auto& owner : entries_) {
            agent_view& view = owner->agents.find_or_add("agent" + std::to_string(index));
            owner->agents.connect(view, static_cast<link_number>(index + 1));
            view.is_introduced = true;
            view.profile.accepts_runs = true;
            view.profile.zone = "zone";
            view.profile.backend.service = "service";
            view.profile.backend.rack = made.rack;
            view.profile.backend.capacity = made.capacity;
            view.reported_capacity.free = made.capacity;
            owner->planner.record_report(view, begin);
        }
        total_millicores_ += made.capacity.cpu_millicores;
        agents_.push_back(std::move(made));
    }

    // The time between two jobs of all kinds, so that the utilization is as chosen.
    double mean_interval() const {
        double work = 0;
        double shares = 0;
        for (const job_kind& kind : options_.kinds) {
            work += kind.share * kind.tasks * kind.seconds * static_cast<double>(kind.millicores);
            shares += kind.share;
        }
        double capacity = 0;
        for (const agent& each : agents_)
            capacity += static_cast<double>(each.capacity.cpu_millicores) / each.slowness;
        return work / shares / (capacity * options_.utilization);
    }

    void submit_next() {
        const double interval = std::exponential_distribution<double>{1 / mean_interval()}(random_);
        const time_point when = std::max(now_, begin) + std::chrono::duration_cast<boot_clock::duration>(
                                                            std::chrono::duration<double>{interval});
        if (when < begin + options_.duration)
            at(when, [this] {
                submit();
                submit_next();
            });
    }

    void submit() {
        std::vector<double> shares;
        for (const job_kind& kind : options_.kinds)
            shares.push_back(kind.share);
        const job_kind& kind =
            options_.kinds[std::discrete_distribution<std::size_t>{shares.begin(), shares.end()}(random_)];
        auto record = std::make_shared<open_job>();
        record->queue = kind.queue;
        record->service = "service";
        record->plan.is_durable = false;
        job_step step;
        step.task_count = kind.tasks;
        step.task_needs = {kind.millicores, 64, 0};
        const double error = std::lognormal_distribution<double>{0, 0.35}(random_);
        step.estimate_ms = std::max<std::int64_t>(1, std::llround(1000 * kind.seconds * error));
        const int racks = (options_.agents + options_.agents_per_rack - 1) / options_.agents_per_rack;
        const bool has_data = uniform() < kind.data_fraction;
        const bool is_first = uniform() < kind.first_rack_fraction;
        const double rack = uniform() * racks;
        if (has_data)
            step.data_rack = "rack" + std::to_string(is_first ? 0 : static_cast<int>(rack));
        record->plan.steps.push_back(step);
        const int index = static_cast<int>(uniform() * options_.entries);
        entry& owner = *entries_[static_cast<std::size_t>(index)];
        ledger_job& job = owner.ledger.add("job" + std::to_string(++last_job_), record, {}, 0, now_);
        job.phase = job_phase::open;
        plan(index);
    }

    void plan(int index) {
        entry& owner = *entries_[static_cast<std::size_t>(index)];
        std::vector<ledger_job*> waiting;
        for (auto& [id, job] : owner.ledger.jobs()) {
            if (job_ledger::count_placeable_tasks(job) > 0)
                waiting.push_back(&job);
        }
        owner.has_waiting = false;
        if (waiting.empty())
            return;
        const run_plan made = owner.planner.plan(waiting, owner.agents, owner.times, config_, now_);
        for (const planned_run& planned : made.runs)
            start(index, planned);
        owner.has_waiting = std::any_of(waiting.begin(), waiting.end(), [](ledger_job* job) {
            return job_ledger::count_placeable_tasks(*job) > 0;
        });
    }

    void start(int index, const planned_run& planned) {
        entry& owner = *entries_[static_cast<std::size_t>(index)];
        ledger_job& job = *owner.ledger.find(planned.task.job);
        ledger_task& task = *job_ledger::find_task(job, planned.task);
        ++task.run;
        job_ledger::set_phase(job, task, task_phase::placed);
        task.agent = planned.agent;
        task.placed = now_;
        if (!job.first_placed_at)
            job.first_placed_at = now_;
        agent_view& view = *owner.agents.find_by_number(planned.agent);
        const job_step& step = job.step(0);
        view.unacknowledged_starts.emplace_back(++view.sent_starts, step.task_needs);
        ++view.own_runs_since_report;
        const auto place = static_cast<std::size_t>(view.link - 1);
        simulated_run run;
        run.entry = index;
        run.run = {planned.task, task.run};
        run.needs = step.task_needs;
        run.is_remote = !step.data_rack.empty() && step.data_rack != agents_[place].rack;
        const double factor = agents_[place].slowness * (run.is_remote ? options_.remote_data_factor : 1.0);
        run.seconds = draw_seconds(job, run.run) * factor;
        run.expected_seconds = mean_seconds(job) * factor;
        time_point& last = last_start_[{place, index}];
        last = std::max(last, after(message_delay()));
        at(last, [this, place, run] { arrive(place, run); });
    }

    // The run time on a typical backend server: log-normal, and some tasks take much longer.
    double mean_seconds(const ledger_job& job) const {
        const auto kind = std::find_if(options_.kinds.begin(), options_.kinds.end(),
                                       [&](const job_kind& each) { return each.queue == job.record->queue; });
        return kind->seconds;
    }

    // The run time on a typical backend server: log-normal, and some tasks take much longer. Each task has
    // the same run time whatever was decided before.
    double draw_seconds(const ledger_job& job, const run_ref& run) const {
        const double seconds = mean_seconds(job);
        std::mt19937_64 random{std::hash<std::string>{}(job.id) + run.task.index + options_.seed};
        std::uniform_real_distribution<double> share{0, 1};
        const double spread = std::lognormal_distribution<double>{-0.08, 0.4}(random);
        return seconds * spread * (share(random) < 0.03 ? 1 + 6 * share(random) : 1.0);
    }

    double message_delay() { return std::uniform_real_distribution<double>{0.0005, 0.0015}(delays_); }

    void arrive(std::size_t place, simulated_run run) {
        agent& target = agents_[place];
        ++target.received_starts[static_cast<std::size_t>(run.entry)];
        ++target.accepted_runs;
        run.arrived = now_;
        target.queue.push_back(run);
        start_queued(place);
        at(now_ + options_.queue_timeout, [this, place] { return_waiting(place); });
    }

    void start_queued(std::size_t place) {
        agent& target = agents_[place];
        for (auto next = target.queue.begin(); next != target.queue.end();) {
            if (!next->needs.fits_in(target.capacity - target.held)) {
                ++next;
                continue;
            }
            const simulated_run run = *next;
            next = target.queue.erase(next);
            target.held += run.needs;
            held_millicores_ += run.needs.cpu_millicores;
            ++results_.starts;
            if (is_counted(run.run.task.job, run.entry)) {
                const double used = run.seconds * static_cast<double>(run.needs.cpu_millicores) / 1000;
                results_.core_seconds += used;
                if (run.is_remote)
                    results_.remote_core_seconds += used;
            }
            const time_point started = now_;
            const time_point expected_end = after(run.expected_seconds);
            target.expected_ends.emplace(expected_end, run.needs);
            at(after(run.seconds),
               [this, place, run, started, expected_end] { end(place, run, started, expected_end); });
        }
    }

    void end(std::size_t place, const simulated_run& run, time_point started, time_point expected_end) {
        std::multimap<time_point, resources>& ends = agents_[place].expected_ends;
        ends.erase(ends.find(expected_end));
        agents_[place].held -= run.needs;
        held_millicores_ -= run.needs.cpu_millicores;
        start_queued(place);
        run_report report;
        report.run = run.run;
        report.state = run_state::done;
        report.run_us = std::chrono::duration_cast<microseconds>(now_ - started).count();
        send_report(place, run.entry, report);
    }

    void return_waiting(std::size_t place) {
        std::deque<simulated_run>& queue = agents_[place].queue;
        while (!queue.empty() && now_ - queue.front().arrived >= options_.queue_timeout) {
            const simulated_run run = queue.front();
            queue.pop_front();
            ++results_.returns;
            run_report report;
            report.run = run.run;
            report.state = run_state::refused;
            report.reason = run_refusal::no_room;
            returned_jobs_[run.run.task.job] = true;
            send_report(place, run.entry, report);
        }
    }

    agent_free_capacity capacity_for(std::size_t place, int entry) const {
        const agent& source = agents_[place];
        agent_free_capacity result;
        result.free = source.capacity - source.held;
        for (const simulated_run& run : source.queue)
            result.queued += run.needs;
        result.received_starts = source.received_starts[static_cast<std::size_t>(entry)];
        if (options_.reports_releases)
            add_releases(source, result);
        if (options_.counts_accepted_runs)
            result.accepted_runs = source.accepted_runs;
        return result;
    }

    // The next ends of runs. Queued runs use what is released first.
    void add_releases(const agent& source, agent_free_capacity& result) const {
        resources amount;
        for (const auto& [end, needs] : source.expected_ends) {
            amount += needs;
            const auto left = std::chrono::duration_cast<milliseconds>(end - now_);
            // A run that is overdue ends soon, but not at once.
            result.releases.push_back({std::max(left, milliseconds{10}).count(), amount});
            if (result.releases.size() == 4)
                return;
        }
    }

    void report_regularly(int place, int entry) {
        send_report(static_cast<std::size_t>(place), entry, std::nullopt);
        if (now_ < begin + options_.duration + drain)
            at(now_ + options_.report_interval, [this, place, entry] { report_regularly(place, entry); });
    }

    void send_report(std::size_t place, int entry, const std::optional<run_report>& report) {
        const agent_free_capacity capacity = capacity_for(place, entry);
        // Messages of one connection stay in order.
        time_point& last = last_arrival_[{place, entry}];
        last = std::max(last, after(message_delay()));
        at(last, [this, place, entry, report, capacity] { receive(place, entry, report, capacity); });
    }

    void receive(std::size_t place, int index, const std::optional<run_report>& report,
                 const agent_free_capacity& capacity) {
        entry& owner = *entries_[static_cast<std::size_t>(index)];
        agent_view& view = *owner.agents.find_by_link(static_cast<link_number>(place + 1));
        if (report)
            apply(owner, view, *report);
        view.update_capacity(capacity);
        owner.planner.record_report(view, now_);
        plan(index);
    }

    void apply(entry& owner, agent_view& view, const run_report& report) {
        ledger_job& job = *owner.ledger.find(report.run.task.job);
        view.own_change += job.step(0).task_needs;
        const ledger_task before = *job_ledger::find_task(job, report.run.task);
        const report_effect effect = job_ledger::apply_report(job, report, view.number, now_);
        if (report.state == run_state::refused) {
            view.backoff_until = now_ + milliseconds{20};
            owner.planner.record_return(now_ - before.placed);
            return;
        }
        const milliseconds estimate = job.step(0).estimate();
        const double distance = owner.planner.distance_factor(job.step(0), view);
        const double expected = distance * owner.times.expected_seconds(job.record->queue, estimate);
        const double measured = std::chrono::duration<double>{report.run_time()}.count();
        owner.times.observe(job.record->queue, estimate, report.run_time(),
                            distance * view.slowness.value_or(1.0));
        view.slowness.observe(measured / expected, 1.0);
        if (effect == report_effect::done && job.occurrences.at(0).is_done()) {
            finish(job, false);
            owner.ledger.erase(job_id{job.id});
        }
    }

    bool is_counted(const job_id& id, int entry) const {
        const ledger_job* job = entries_[static_cast<std::size_t>(entry)]->ledger.find(id);
        return job != nullptr && job->accepted >= begin + warm_up;
    }

    void finish(const ledger_job& job, bool is_unfinished) {
        if (job.accepted < begin + warm_up)
            return;
        kind_result& kind = results_.kinds[job.record->queue];
        const double seconds = mean_seconds(job);
        const double response = std::chrono::duration<double>{now_ - job.accepted}.count();
        const time_point placed = job.first_placed_at.value_or(now_);
        const double wait = std::chrono::duration<double>{placed - job.accepted}.count();
        ++kind.jobs;
        kind.late += is_unfinished || response > 1.6 * seconds + 0.06 ? 1 : 0;
        double longest = 0;
        for (std::uint32_t index = 0; index < job.step(0).task_count; ++index)
            longest = std::max(longest, draw_seconds(job, {{job.id, 0, 0, index}, 0}));
        const double objective = 1.6 * seconds + 0.06;
        kind.avoidably_late += longest <= objective && (is_unfinished || response > objective) ? 1 : 0;
        kind.unfinished += is_unfinished ? 1 : 0;
        kind.with_return += returned_jobs_.contains(job.id) ? 1 : 0;
        kind.wait_seconds += wait;
        kind.max_wait_seconds = std::max(kind.max_wait_seconds, wait);
        kind.response_seconds += response;
    }

    options options_;
    // Of the jobs, and of the messages. The jobs are the same whatever the planners decide.
    std::mt19937_64 random_;
    std::mt19937_64 delays_{1};
    deployment_config config_;
    time_point now_ = begin;
    std::uint64_t last_order_ = 0;
    std::uint64_t last_job_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<entry>> entries_;
    std::vector<agent> agents_;
    std::map<std::pair<std::size_t, int>, time_point> last_arrival_;
    std::map<std::pair<std::size_t, int>, time_point> last_start_;
    std::int64_t total_millicores_ = 0;
    std::int64_t held_millicores_ = 0;
    std::map<job_id, bool> returned_jobs_;
    results results_;
};

} // namespace persimmonstile
