#pragma once

#include "coordination/agent_task_table.h"
#include "coordination/job_table.h"
#include "state/limits.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Simulates a few owners and agents in one thread, with seeded delays and failures: owners that crash or are
// deposed, agents that restart, connections that are cut and deliver late, backend servers that lose results.
// The simulation itself moves the ownership of partitions and keeps the guarantee of the grants: at most one
// owner may act at any time. The seed determines the whole history.
class job_simulation {
public:
    struct options {
        std::uint64_t seed = 1;
        std::size_t jobs = 6;
        // Each switch breaks one rule on purpose, to show that the checks detect it.
        bool skips_query = false;
        bool keeps_old_epochs = false;
        bool refuses_without_lease = false;
    };

    explicit job_simulation(const options& chosen)
        : options_{chosen}
        , random_{chosen.seed} {
        for (int i = 0; i < agent_count; ++i)
            start_agent(i);
        owners_.push_back(make_owner());
        owners_.push_back(make_owner());
        current_ = 0;
        take_ownership(0, true);
    }

    // Runs the history and returns the violated guarantees; empty if all held.
    const std::vector<std::string>& run() {
        for (std::size_t i = 0; i < options_.jobs; ++i)
            at(random_below(2000), [this, i] { submit_new(i); });
        for (std::uint64_t i = 0, faults = random_below(10); i < faults; ++i)
            at(random_below(3000), [this] { random_fault(); });
        for (int ms = 50; ms < 130000; ms += ms < 15000 ? 50 : 1000)
            at(ms, [this] { tick(); });
        while (!events_.empty() && violations_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        for (const auto& [token, caller] : callers_) {
            if (violations_.empty() && !caller.answered)
                add_violation("caller of " + caller.job + " got no answer");
        }
        return violations_;
    }

    std::string history() const {
        std::string text = "seed " + std::to_string(options_.seed) + "\n";
        for (const std::string& line : log_)
            text += line + "\n";
        return text;
    }

    std::size_t starts() const { return starts_.size(); }
    std::size_t complete_answers() const { return complete_answers_; }
    std::size_t takeovers() const { return epoch_ - 1; }

private:
    static constexpr int agent_count = 3;
    static constexpr const char* service = "dispatch";

    struct event {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::pair{when, order} > std::pair{other.when, other.order};
        }
    };
    struct owner {
        incarnation id;
        std::unique_ptr<job_table> jobs;
        std::deque<queue_request> queue;
        bool is_alive = true;
        epoch_number epoch = 0;
    };
    struct agent {
        std::unique_ptr<agent_task_table> tasks;
        incarnation id;
        epoch_number known_epoch = 0;
    };
    struct link {
        bool is_up = true;
        // Incremented at each cut. A message sent in an earlier generation is lost, or arrives late and out
        // of order.
        std::uint64_t generation = 0;
        time_point last_arrival{};
    };
    struct caller {
        job_id job;
        std::size_t tasks = 0;
        bool answered = false;
        // Index of the owner to which the caller's request was last sent.
        std::size_t sent_to = 0;
    };
    struct job_facts {
        std::size_t tasks = 0;
        // Positions in the order of events, because several events can share one millisecond.
        std::uint64_t last_submitted = 0;
        std::optional<std::uint64_t> not_run;
        bool complete = false;
        bool task_failed = false;
        bool lost = false;
    };

    std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }
    bool chance(unsigned percent) { return random_below(100) < percent; }
    void log_event(const std::string& text) {
        log_.push_back(std::to_string(now_.time_since_epoch().count() / 1000000) + " ms  " + text);
    }
    void add_violation(const std::string& text) {
        log_event("VIOLATION " + text);
        violations_.push_back(text);
    }
    void at(std::uint64_t delay_ms, std::function<void()> action) {
        events_.push({now_ + std::chrono::milliseconds{delay_ms}, next_event_order_++, std::move(action)});
    }
    wall_time wall() const { return wall_time{std::chrono::hours{400000}} + (now_ - time_point{}); }

    std::unique_ptr<owner> make_owner() {
        auto made = std::make_unique<owner>();
        made->id = {"entry-" + std::to_string(owners_.size()), 1};
        made->jobs = std::make_unique<job_table>(std::size_t{1} << 30U);
        return made;
    }

    void start_agent(int index) {
        agent& started = agents_[index];
        started.id = {"agent-" + std::to_string(index), ++incarnations_};
        started.tasks = std::make_unique<agent_task_table>(started.id, "zone", "rack");
        auto fleet = std::make_shared<fleet_view>();
        fleet->revision = 1;
        started.tasks->set_fleet(fleet, now_);
        started.tasks->extend_lease(now_ + std::chrono::hours{1}, now_);
        started.tasks->mark_agent_recorded(now_);
        started.tasks->announced({service, "url", 2, 8, false}, now_);
        recorded_.insert(started.id);
        send_owner_table(started, epoch_);
    }

    void send_owner_table(agent& updated_agent, epoch_number epoch) {
        if (options_.keeps_old_epochs || epoch == 0)
            return;
        owner_table table;
        table.version = epoch;
        table.partitions.assign(partition_count, partition_owner{{"entry", 1}, epoch});
        perform_agent(updated_agent, updated_agent.tasks->set_table(table, now_));
    }

    void take_ownership(std::size_t index, bool first) {
        ++epoch_;
        owner& next = *owners_[index];
        next.epoch = epoch_;
        for (partition_id p = 0; p < partition_count; ++p) {
            partition_gain gained;
            gained.partition = p;
            gained.epoch = epoch_;
            gained.is_first_epoch = first || options_.skips_query;
            gained.previous_agents = {recorded_.begin(), recorded_.end()};
            perform(index, next.jobs->apply(gained, now_, wall()));
        }
        log_event(next.id.name + " owns all partitions in epoch " + std::to_string(epoch_));
        for (auto& [i, updated_agent] : agents_) {
            if (chance(50))
                at(random_below(3000),
                   [this, index = i, epoch = epoch_] { send_owner_table(agents_[index], epoch); });
        }
        for (const incarnation& suspect : recorded_) {
            bool running = false;
            for (const auto& [i, present] : agents_)
                running = running || present.id == suspect;
            if (!running)
                perform(index, next.jobs->apply(agent_presence{suspect, true, 1}, now_, wall()));
        }
    }

    void random_fault() {
        switch (random_below(8)) {
        case 0:
            take_over(chance(50));
            break;
        case 1:
            if (chance(50))
                restart_agent(static_cast<int>(random_below(agent_count)));
            else
                stop_agent(static_cast<int>(random_below(agent_count)));
            break;
        case 2:
            cut(random_below(owners_.size()), static_cast<int>(random_below(agent_count)));
            break;
        case 3:
        case 4:
        case 5:
            cut(current_, static_cast<int>(random_below(agent_count)));
            break;
        case 6:
            cancel_some_job();
            break;
        default:
            resubmit_some_job();
            break;
        }
    }

    void take_over(bool old_dies) {
        const std::size_t old = current_;
        log_event(owners_[old]->id.name + (old_dies ? " crashes" : " is deposed"));
        owners_.push_back(make_owner());
        current_ = owners_.size() - 1;
        take_ownership(current_, false);
        if (old_dies)
            owners_[old]->is_alive = false;
        else
            at(random_below(3000), [this, old, next = current_] {
                for (partition_id p = 0; p < partition_count; ++p)
                    release_partition(old, next, p);
            });
        // Entries resend the waiting requests of their callers to the new owner.
        for (const auto& [token, waiting] : callers_) {
            if (!waiting.answered)
                at(random_below(500), [this, token = token] { resubmit(token); });
        }
    }

    // A planned stop: the agent drains, sends every owner the jobs that it knows, and restarts as a new
    // incarnation.
    void stop_agent(int index) {
        log_event(agents_[index].id.name + " begins a planned stop");
        perform_agent(agents_[index], agents_[index].tasks->drain(now_));
        finish_stop(index, agents_[index].id);
    }

    void finish_stop(int index, const incarnation& stopping) {
        agent& draining = agents_[index];
        if (draining.id != stopping)
            return;
        if (draining.tasks->running() > 0) {
            at(20, [this, index, stopping] { finish_stop(index, stopping); });
            return;
        }
        const agent_departure parting{stopping, draining.tasks->known_job_hashes()};
        for (std::size_t o = 0; o < owners_.size(); ++o)
            deliver(o, index, [this, o, parting] {
                if (owners_[o]->is_alive)
                    perform(o, owners_[o]->jobs->apply(parting, now_, wall()));
            });
        restart_agent(index);
    }

    void release_partition(std::size_t old, std::size_t next, partition_id partition) {
        const job_actions actions = owners_[old]->jobs->apply(partition_loss{partition}, now_, wall());
        perform(old, actions);
        for (const partition_handover& handover : actions.handovers) {
            if (chance(80))
                at(random_below(50), [this, next, handover] {
                    if (owners_[next]->is_alive)
                        perform(next, owners_[next]->jobs->apply(handover, now_, wall()));
                });
        }
    }

    void restart_agent(int index) {
        agent& restarted = agents_[index];
        const incarnation old = restarted.id;
        log_event(old.name + " restarts");
        start_agent(index);
        for (std::size_t o = 0; o < owners_.size(); ++o) {
            links_[{o, index}] = {};
            at(random_below(2000), [this, o, old] {
                if (owners_[o]->is_alive)
                    perform(o, owners_[o]->jobs->apply(agent_presence{old, true, 1}, now_, wall()));
            });
        }
    }

    void cut(std::size_t owner_index, int agent_index) {
        link& cut_link = links_[{owner_index, agent_index}];
        log_event("connection between " + owners_[owner_index]->id.name + " and agent-" +
                  std::to_string(agent_index) + " is cut");
        cut_link.is_up = false;
        ++cut_link.generation;
        at(random_below(1500), [this, owner_index, agent_index] {
            links_[{owner_index, agent_index}].is_up = true;
            if (owners_[owner_index]->is_alive)
                perform(owner_index, owners_[owner_index]->jobs->apply(
                                         agent_presence{agents_[agent_index].id, false, 1}, now_, wall()));
        });
    }

    job_id name_of(std::size_t index) const { return "job-" + std::to_string(index); }

    void submit_new(std::size_t index) {
        const job_id job = name_of(index);
        facts_[job].tasks = 1 + random_below(4);
        submit(job);
        for (std::uint64_t i = 0, again = random_below(3); i < again; ++i)
            at(random_below(6000), [this, job] { submit(job); });
    }

    void submit(const job_id& job) {
        const caller_token token = next_token_++;
        callers_[token] = {job, facts_[job].tasks, false, current_};
        resubmit(token);
    }

    void resubmit(caller_token token) {
        caller& waiting_caller = callers_[token];
        if (waiting_caller.answered)
            return;
        validated_submission request;
        request.job = waiting_caller.job;
        auto spec = std::make_shared<job_spec>();
        spec->service = service;
        spec->digest = waiting_caller.job;
        for (std::size_t i = 0; i < waiting_caller.tasks; ++i)
            spec->tasks.push_back(text_of(waiting_caller.job, i));
        request.spec = spec;
        request.token = token;
        waiting_caller.sent_to = current_;
        facts_[waiting_caller.job].last_submitted = next_event_order_++;
        log_event("submit " + waiting_caller.job + " to " + owners_[current_]->id.name);
        perform(current_, owners_[current_]->jobs->apply(request, now_, wall()));
    }

    void resubmit_some_job() {
        if (!facts_.empty())
            submit(std::next(facts_.begin(), static_cast<long>(random_below(facts_.size())))->first);
    }

    void cancel_some_job() {
        if (facts_.empty())
            return;
        const job_id job = std::next(facts_.begin(), static_cast<long>(random_below(facts_.size())))->first;
        log_event("cancel " + job);
        perform(current_, owners_[current_]->jobs->apply(forward_lookup{0, job, true}, now_, wall()));
    }

    void tick() {
        for (auto& [i, ticking] : agents_) {
            ticking.tasks->announced({service, "url", 2, 8, false}, now_);
            perform_agent(ticking, ticking.tasks->tick(now_));
        }
        for (std::size_t o = 0; o < owners_.size(); ++o) {
            if (owners_[o]->is_alive)
                perform(o, owners_[o]->jobs->apply(clock_tick{}, now_, wall()));
        }
        dispatch_waiting();
    }

    void dispatch_waiting() {
        owner& acting = *owners_[current_];
        std::deque<queue_request> waiting;
        waiting.swap(acting.queue);
        for (const queue_request& request : waiting) {
            for (const task_index task : request.tasks) {
                assignment chosen;
                chosen.job = request.job;
                chosen.agent = agents_[static_cast<int>(random_below(agent_count))].id;
                chosen.tasks = {task};
                chosen.revision = 1;
                perform(current_, acting.jobs->apply(chosen, now_, wall()));
            }
        }
    }

    void perform(std::size_t owner_index, const job_actions& actions) {
        owner& acting = *owners_[owner_index];
        for (const task_message_to_agent& send : actions.sends)
            send_to_agent(owner_index, send);
        for (const caller_answer& answer : actions.answers)
            answered(owner_index, answer);
        for (const queue_request& request : actions.queue)
            queue(owner_index, acting, request);
    }

    void queue(std::size_t owner_index, owner& acting, const queue_request& request) {
        if (!request.needs_admission) {
            acting.queue.push_back(request);
            return;
        }
        if (chance(15)) {
            job_failed refusal;
            refusal.reason = failure_reason::not_run;
            const bool has_lease = owner_index == current_ || options_.refuses_without_lease;
            const auto result = has_lease ? admission_result::refused : admission_result::abandoned;
            perform(owner_index,
                    acting.jobs->apply(admission_decision{request.job, result, refusal}, now_, wall()));
            return;
        }
        acting.queue.push_back(request);
        perform(owner_index,
                acting.jobs->apply(admission_decision{request.job, admission_result::admitted, {}}, now_,
                                   wall()));
    }

    void send_to_agent(std::size_t owner_index, const task_message_to_agent& send) {
        for (auto& [i, target] : agents_) {
            if (target.id == send.to)
                deliver(owner_index, i, [this, owner_index, i = i, send] {
                    agent& receiver = agents_[i];
                    if (receiver.id != send.to)
                        return;
                    receive(owner_index, receiver, send.message);
                });
        }
    }

    void receive(std::size_t owner_index, agent& receiver, const task_message& message) {
        const incarnation& from = owners_[owner_index]->id;
        if (const auto* work = std::get_if<dispatch>(&message))
            perform_agent(receiver, receiver.tasks->dispatched(from, *work, now_));
        else if (const auto* withdrawn = std::get_if<revoke>(&message))
            perform_agent(receiver, receiver.tasks->revoked(from, *withdrawn, now_));
        else if (const auto* query = std::get_if<query_job>(&message))
            perform_agent(receiver, receiver.tasks->queried(from, *query, now_));
    }

    void perform_agent(agent& acting, const agent_actions& actions) {
        for (const backend_call& call : actions.calls)
            start_task(acting, call);
        for (const task_message_to_entry& send : actions.sends) {
            for (std::size_t o = 0; o < owners_.size(); ++o) {
                if (owners_[o]->id == send.to)
                    send_to_owner(acting, o, send.message);
            }
        }
    }

    void send_to_owner(const agent& from, std::size_t owner_index, const task_message& message) {
        const int agent_index = from.id.name.back() - '0';
        deliver(owner_index, agent_index, [this, owner_index, message] {
            owner& receiver = *owners_[owner_index];
            if (!receiver.is_alive)
                return;
            if (const auto* reports = std::get_if<task_reports>(&message))
                perform(owner_index, receiver.jobs->apply(*reports, now_, wall()));
            else if (const auto* report = std::get_if<job_report>(&message))
                perform(owner_index, receiver.jobs->apply(*report, now_, wall()));
        });
    }

    // Delivers messages of a connection in order. A message in flight when the connection is cut is lost or
    // arrives late.
    void deliver(std::size_t owner_index, int agent_index, std::function<void()> action) {
        link& used = links_[{owner_index, agent_index}];
        if (!used.is_up)
            return;
        const time_point arrival = std::max(
            used.last_arrival, now_ + std::chrono::milliseconds{1 + random_below(chance(5) ? 400 : 10)});
        used.last_arrival = arrival;
        const std::uint64_t generation = used.generation;
        const bool survives_cut = chance(50);
        events_.push({arrival, next_event_order_++,
                      [this, owner_index, agent_index, generation, survives_cut, action] {
                          const link& present = links_[{owner_index, agent_index}];
                          if (present.generation == generation)
                              action();
                          else if (survives_cut)
                              at(random_below(2500), action);
                      }});
    }

    static std::string text_of(const job_id& job, std::size_t index) {
        return "\"" + job + "/" + std::to_string(index) + "\"";
    }

    void start_task(agent& acting, const backend_call& call) {
        backend_result result{backend_result_kind::answered, call.body};
        const std::uint64_t kind = random_below(100);
        if (kind < 4)
            result = {backend_result_kind::error, "error"};
        else if (kind < 8) {
            facts_[call.job].lost = true;
            result = {backend_result_kind::lost, "lost"};
        } else if (kind < 25)
            result = {backend_result_kind::declined, "declined"};
        if (result.kind != backend_result_kind::declined)
            note_start(acting, call);
        const incarnation id = acting.id;
        at(1 + random_below(300), [this, id, call, result] {
            agent& ended = agents_[id.name.back() - '0'];
            if (ended.id == id)
                perform_agent(ended, ended.tasks->answered(call.job, call.index, result, now_));
        });
    }

    void note_start(const agent& acting, const backend_call& call) {
        log_event("start " + call.job + "/" + std::to_string(call.index) + " on " + acting.id.name);
        if (!starts_.insert({call.job, call.index}).second)
            add_violation("task " + call.job + "/" + std::to_string(call.index) + " started twice");
        const job_facts& facts = facts_[call.job];
        if (facts.not_run && facts.last_submitted <= *facts.not_run)
            add_violation("a task of " + call.job + " started after the job was refused as not_run");
    }

    void answered(std::size_t owner_index, const caller_answer& answer) {
        const auto found = callers_.find(answer.token);
        if (found == callers_.end() || found->second.answered || found->second.sent_to != owner_index)
            return;
        const auto* outcome = std::get_if<job_outcome>(&answer.reply);
        if (outcome == nullptr) {
            log_event("wrong owner " + owners_[owner_index]->id.name + " for " + answer.job);
            at(100, [this, token = answer.token] { resubmit(token); });
            return;
        }
        found->second.answered = true;
        check_outcome(answer.job, *outcome);
    }

    void check_outcome(const job_id& job, const job_outcome& outcome) {
        job_facts& facts = facts_[job];
        if (const auto* complete = std::get_if<job_completed>(&outcome)) {
            log_event("answer " + job + " complete");
            ++complete_answers_;
            facts.complete = true;
            for (std::size_t i = 0; i < facts.tasks; ++i) {
                if (complete->answers.size() != facts.tasks || complete->answers[i] != text_of(job, i))
                    add_violation("wrong answer for " + job);
            }
        } else {
            const auto& failed = std::get<job_failed>(outcome);
            log_event("answer " + job + " " + std::string{to_string(failed.reason)} + " " + failed.detail);
            facts.task_failed = facts.task_failed || failed.reason == failure_reason::task_failed;
            // Faults last a few seconds and tasks at most 300 ms, so a job that reaches its deadline of 60 s
            // was lost by its owners.
            if (failed.reason == failure_reason::deadline_exceeded)
                add_violation(job + " reached its deadline without an outcome");
            if (failed.reason == failure_reason::outcome_unknown && !facts.lost &&
                incarnations_ == agent_count)
                add_violation(job + " has an unknown outcome without a lost result or agent");
            if (failed.reason == failure_reason::not_run) {
                facts.not_run = next_event_order_++;
                if (starts_.lower_bound({job, 0}) != starts_.upper_bound({job, max_tasks_per_job}))
                    add_violation("not_run answered for " + job + " although a task had started");
            }
        }
        if (facts.complete && facts.task_failed)
            add_violation(job + " was answered as complete and as failed");
    }

    options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::seconds{1000}};
    std::uint64_t next_event_order_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<owner>> owners_;
    std::size_t current_ = 0;
    epoch_number epoch_ = 0;
    std::map<int, agent> agents_;
    std::uint64_t incarnations_ = 0;
    std::set<incarnation> recorded_;
    std::map<std::pair<std::size_t, int>, link> links_;
    caller_token next_token_ = 1;
    std::map<caller_token, caller> callers_;
    std::map<job_id, job_facts> facts_;
    std::set<std::pair<job_id, task_index>> starts_;
    std::size_t complete_answers_ = 0;
    std::vector<std::string> log_;
    std::vector<std::string> violations_;
};

} // namespace persimmonstile
