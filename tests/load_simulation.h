#pragma once

#include "coordination/agent_core.h"
#include "coordination/entry_core.h"
#include "coordination/entry_subset.h"
#include "standins/kv_model.h"
#include "standins/order_backend.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// Describes one kind of job in a load: its arrival rate, its number of tasks and the work of each task.
struct load_class {
    std::string queue;
    double jobs_per_second = 0;
    double mean_tasks = 1;
    milliseconds mean_work{100};
    std::int64_t millicores = 1000;
    std::uint32_t priority = 0;
};

// Counts the jobs of one kind and the answers that their callers got.
struct load_outcome {
    std::size_t jobs = 0;
    // Completed within the objective, within three times the objective, and later.
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t too_late = 0;
    std::size_t refused = 0;
    // Callers without an answer, or with one that is neither a refusal nor a completion.
    std::size_t unanswered = 0;
    // Maximum and sum of the times from submission to refusal, and the refusals within the objective.
    milliseconds slowest_refusal{0};
    milliseconds refusal_time{0};
    std::size_t refused_in_time = 0;

    double in_time_fraction() const {
        return jobs == 0 ? 1 : static_cast<double>(in_time) / static_cast<double>(jobs);
    }
};

// Runs a load against the decision logic of entries and agents in simulated time and without a network.
// Messages have a network delay, and every process handles them one at a time at its own speed. Jobs are not
// durable: they end with their callers' calls. The options, which include the seed, determine the whole load.
class load_simulation {
public:
    struct options {
        std::uint64_t seed = 1;
        int entries = 3;
        int agents = 11;
        // Capacities and speeds of the backend servers; the lists are repeated when there are more servers.
        std::vector<std::int64_t> millicores{32000, 32000, 48000};
        std::vector<double> speeds{0.7, 0.7, 1.7};
        std::vector<load_class> classes;
        milliseconds duration{8000};
        // Factor on the arrival rates between burst_begin and burst_end.
        double burst = 1;
        milliseconds burst_begin{2000};
        milliseconds burst_end{5000};
        // Processor time of one message at an entry and at an agent that are not slowed down.
        std::chrono::microseconds entry_cost{200};
        std::chrono::microseconds agent_cost{200};
        // Fraction of the orders that get no answer and are executed 2 to 12 s later.
        double late_order_fraction = 0;
        // Number of groups of entries whose callers' rates vary by zone_amplitude over zone_period, out of
        // phase. The sum of the rates stays the same.
        int zones = 1;
        double zone_amplitude = 0;
        milliseconds zone_period{17000};
        // Relative speeds of the entries and of the rates of their callers; repeated like the capacities.
        std::vector<double> entry_sizes{1};
        // Entries know and reach each other, so they can ask each other for agents.
        bool has_peers = false;
        agent_limits agent_settings;
        entry_limits entry_settings;
    };

    explicit load_simulation(const options& chosen)
        : options_{chosen}
        , random_{chosen.seed}
        , traffic_random_{chosen.seed} {
        for (int i = 0; i < options_.entries; ++i)
            make_entry(i);
        for (int i = 0; i < options_.agents; ++i)
            make_agent(i);
        if (options_.has_peers)
            connect_entries();
    }

    // Multiplies the processor time of an entry's messages by the factor between these times.
    void slow_down_entry(int index, double factor, milliseconds begin, milliseconds end) {
        at(time_point{begin}, [this, index, factor] { entries_[index]->slowdown = factor; });
        at(time_point{end}, [this, index] { entries_[index]->slowdown = 1; });
    }

    // Tasks of this backend server make no progress between these times.
    void hang_backend(int index, milliseconds begin, milliseconds end) {
        at(time_point{begin}, [this, index] { agents_[index]->backend.set_hanging(true); });
        at(time_point{end}, [this, index] { agents_[index]->backend.set_hanging(false); });
    }

    const std::map<std::string, load_outcome>& run() {
        for (const auto& node : agents_)
            at(time_point{warm_up / 2}, [this, agent = node.get()] { announce(*agent); });
        at(time_point{milliseconds{0}}, [this] { tick(); });
        for (const load_class& kind : options_.classes)
            schedule_next(kind, time_point{warm_up});
        const time_point end{warm_up + options_.duration + drain};
        while (!events_.empty() && events_.top().when < end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        for (const auto& [token, call] : calls_)
            ++outcomes_[call.queue].unanswered;
        return outcomes_;
    }

    load_outcome total() const {
        load_outcome sum;
        for (const auto& [queue, outcome] : outcomes_) {
            sum.jobs += outcome.jobs;
            sum.in_time += outcome.in_time;
            sum.late += outcome.late;
            sum.too_late += outcome.too_late;
            sum.refused += outcome.refused;
            sum.unanswered += outcome.unanswered;
            sum.slowest_refusal = std::max(sum.slowest_refusal, outcome.slowest_refusal);
            sum.refusal_time += outcome.refusal_time;
            sum.refused_in_time += outcome.refused_in_time;
        }
        return sum;
    }

    // Mean fraction of all backend servers' processor capacity in use during the burst.
    double burst_utilization() const {
        return samples_ == 0 ? 0 : utilization_sum_ / static_cast<double>(samples_);
    }
    std::size_t messages() const { return messages_; }
    // Number of runs that an agent refused because its backend server lacked free capacity.
    std::size_t returned_runs() const { return returned_runs_; }
    // Jobs that were refused, or not completed within their objective, while an agent that was not connected
    // to their entry had free capacity for one of their tasks.
    std::size_t missed_while_others_free() const { return missed_while_others_free_; }
    std::size_t borrowings() const { return borrowings_; }
    // False if the runs of a backend server ever exceeded its capacity.
    bool is_capacity_respected() const { return is_capacity_respected_; }
    static constexpr milliseconds traffic_start() { return warm_up; }

private:
    static constexpr milliseconds warm_up{2000};
    static constexpr milliseconds drain{6000};
    static constexpr milliseconds tick_interval{20};
    static constexpr milliseconds backend_step{2};
    static constexpr double max_stretch = 1.6;
    static constexpr milliseconds slack{60};
    // A caller waits for three times its objective plus this time.
    static constexpr milliseconds extra_caller_timeout{1500};

    struct event {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::pair{when, order} > std::pair{other.when, other.order};
        }
    };

    // A simulated process, which handles one event at a time.
    struct process {
        std::string name;
        double slowdown = 1;
        time_point busy_until{};
    };

    struct entry_node : process {
        std::unique_ptr<entry_core> core;
    };

    struct agent_node : process {
        std::unique_ptr<agent_core> core;
        order_backend backend;
        std::int64_t millicores = 0;
        std::map<run_ref, std::int64_t> running;
        std::int64_t used = 0;
        explicit agent_node(backend_profile profile)
            : backend{std::move(profile)} {}
    };

    struct open_call {
        std::string queue;
        time_point sent{};
        milliseconds objective{0};
        int entry = 0;
        std::int64_t millicores = 0;
        bool is_late_or_gone = false;
    };

    void at(time_point when, std::function<void()> action) {
        events_.push({when, ++last_event_order_, std::move(action)});
    }
    std::int64_t random_below(std::int64_t below) {
        return std::uniform_int_distribution<std::int64_t>{0, std::max<std::int64_t>(0, below - 1)}(random_);
    }

    void make_entry(int index) {
        auto node = std::make_unique<entry_node>();
        node->name = "entry" + std::to_string(index);
        entry_record self;
        self.session.name = node->name;
        self.peer_address = node->name;
        self.zone = "zone" + std::to_string(index % 3);
        node->core = std::make_unique<entry_core>(incarnation{node->name, 1}, self, options_.entry_settings,
                                                  "op/", options_.seed + static_cast<std::uint64_t>(index),
                                                  [this] { return ++last_session_; });
        auto config = std::make_shared<deployment_config>();
        config->version = 1;
        for (const load_class& kind : options_.classes) {
            queue_policy queue;
            queue.name = kind.queue;
            queue.service = "service";
            queue.max_attempts = 3;
            queue.priority = kind.priority;
            queue.max_stretch = max_stretch;
            queue.slack = slack;
            config->queues.push_back(queue);
        }
        node->core->set_config(config, now_);
        node->slowdown = 1 / entry_size(index);
        entries_.push_back(std::move(node));
    }

    void make_agent(int index) {
        backend_profile profile;
        profile.id = "backend" + std::to_string(index);
        profile.life = 1;
        profile.service = "service";
        profile.zone = "zone" + std::to_string(index % 3);
        const auto kind = static_cast<std::size_t>(index);
        profile.capacity = {options_.millicores[kind % options_.millicores.size()], 1 << 20, 0};
        auto node = std::make_unique<agent_node>(profile);
        node->name = "agent" + std::to_string(index);
        node->millicores = profile.capacity.cpu_millicores;
        node->backend.set_slowness(1 / options_.speeds[kind % options_.speeds.size()]);
        node->core = std::make_unique<agent_core>(incarnation{node->name, 1}, profile.zone,
                                                  options_.agent_settings, now_);
        agents_.push_back(std::move(node));
        std::set<std::string> addresses;
        for (const auto& entry : entries_)
            addresses.insert(entry->name);
        const std::set<std::string> served =
            choose_entries(agents_.back()->name, addresses, options_.agent_settings.max_entries);
        // The entry and the agent of a link can be computed from its number.
        for (int entry = 0; entry < options_.entries; ++entry) {
            if (!served.contains(entries_[entry]->name))
                continue;
            open_link(entry, index);
        }
    }

    void open_link(int entry, int index) {
        const link_number link = link_between(entry, index);
        if (!open_links_.insert(link).second)
            return;
        agents_[index]->core->link_opened(link, now_, options_.has_peers ? entries_[entry]->name : "");
        entries_[entry]->core->link_opened(link, false, now_);
    }

    // Opens the links to the entries that have requested it.
    void connect_to_served(agent_node& node) {
        if (!options_.has_peers || !node.core->take_address_change())
            return;
        const int index = index_in(agents_, node);
        const std::set<std::string> served = node.core->served_addresses();
        for (int entry = 0; entry < options_.entries; ++entry) {
            if (!served.contains(entries_[entry]->name) || open_links_.contains(link_between(entry, index)))
                continue;
            // A round trip for the connection.
            at(now_ + network_delay() + network_delay(), [this, entry, index] {
                handle(*agents_[index], options_.agent_cost, [this, entry, index] {
                    open_link(entry, index);
                    flush(*agents_[index]);
                });
            });
        }
    }

    void close_links(const std::vector<link_number>& links, agent_node& node) {
        for (const link_number link : links) {
            if (open_links_.erase(link) == 0)
                continue;
            node.core->link_closed(link, now_);
            entry_node& entry = *entries_[(link - 1) % static_cast<link_number>(options_.entries)];
            at(now_ + network_delay(), [this, &entry, link] {
                entry.core->link_closed(link);
                flush(entry);
            });
        }
    }

    // The links between entries follow those of the agents. Link a * entries + b leads from entry a to b.
    link_number first_peer_link() const { return link_between(0, options_.agents); }
    link_number peer_link(int from, int to) const {
        return first_peer_link() + static_cast<link_number>(from * options_.entries + to);
    }

    void connect_entries() {
        for (int i = 0; i < options_.entries; ++i) {
            for (int k = 0; k < options_.entries; ++k) {
                if (i != k)
                    entries_[i]->core->link_opened(peer_link(i, k), i < k, now_);
            }
        }
    }

    void deliver_to_peer(link_number link, const work_message& message) {
        const auto number = static_cast<int>(link - first_peer_link());
        const int from = number / options_.entries;
        const int to = number % options_.entries;
        entry_node& receiver = *entries_[to];
        deliver(link, true, receiver, options_.entry_cost, [this, &receiver, from, to, message] {
            receiver.core->received(peer_link(to, from), message, now_,
                                    wall_time{} + now_.time_since_epoch());
            flush(receiver);
        });
    }

    template <typename Node>
    static int index_in(const std::vector<std::unique_ptr<Node>>& nodes, const Node& node) {
        return static_cast<int>(std::find_if(nodes.begin(), nodes.end(),
                                             [&](const auto& other) { return other.get() == &node; }) -
                                nodes.begin());
    }

    // A watch without a change is answered when the change comes, or shortly before its timeout.
    void call_store(entry_node& entry, const store_request& request) {
        call_store(entry, request, now_ + request.timeout);
    }

    void call_store(entry_node& entry, const store_request& request, time_point deadline) {
        constexpr milliseconds watch_margin{500};
        std::optional<store_reply> reply = store_.call(request.call, now_);
        if (!reply && now_ + watch_margin >= deadline)
            reply = item_changes{{}, store_.revision()};
        if (!reply) {
            at(now_ + tick_interval,
               [this, &entry, request, deadline] { call_store(entry, request, deadline); });
            return;
        }
        at(now_ + network_delay() + network_delay(), [this, &entry, id = request.id, reply = *reply] {
            handle(entry, options_.entry_cost, [this, &entry, id, reply] {
                entry.core->store_replied(id, reply, now_, wall_time{} + now_.time_since_epoch());
                flush(entry);
            });
        });
    }

    // The entry that a caller chooses now.
    int choose_entry() {
        if (options_.zones <= 1 && options_.entry_sizes.size() == 1)
            return std::uniform_int_distribution<int>{0, options_.entries - 1}(traffic_random_);
        const double angle = 2 * 3.14159265 * static_cast<double>(now_.time_since_epoch().count()) /
                             static_cast<double>(std::chrono::nanoseconds{options_.zone_period}.count());
        std::vector<double> rates;
        for (int i = 0; i < options_.entries; ++i) {
            const double phase = 2 * 3.14159265 * (i % options_.zones) / options_.zones;
            rates.push_back(entry_size(i) * (1 + options_.zone_amplitude * std::sin(angle + phase)));
        }
        return std::discrete_distribution<int>{rates.begin(), rates.end()}(traffic_random_);
    }
    double entry_size(int index) const {
        return options_.entry_sizes[static_cast<std::size_t>(index) % options_.entry_sizes.size()];
    }

    bool has_unreachable_capacity(int entry, std::int64_t millicores) const {
        for (int i = 0; i < options_.agents; ++i) {
            if (!open_links_.contains(link_between(entry, i)) &&
                agents_[i]->millicores - agents_[i]->used >= millicores)
                return true;
        }
        return false;
    }

    link_number link_between(int entry, int agent) const {
        return 1 + static_cast<link_number>(agent) * static_cast<link_number>(options_.entries) +
               static_cast<link_number>(entry);
    }

    void announce(agent_node& agent) {
        handle(agent, options_.agent_cost, [this, &agent] {
            agent.core->announced(agent.backend.announce(now_), now_);
            flush(agent);
        });
        at(now_ + milliseconds{1500}, [this, &agent] { announce(agent); });
    }

    // Runs the action when the process has finished all earlier work and spent this processor time.
    void handle(process& node, std::chrono::microseconds cost, std::function<void()> action) {
        const auto time = std::chrono::microseconds{
            static_cast<std::int64_t>(static_cast<double>(cost.count()) * node.slowdown)};
        node.busy_until = std::max(now_, node.busy_until) + time;
        at(node.busy_until, std::move(action));
    }

    void tick() {
        for (const auto& node : entries_)
            handle(*node, options_.entry_cost, [this, entry = node.get()] {
                entry->core->tick(now_, wall_time{} + now_.time_since_epoch());
                flush(*entry);
            });
        for (const auto& node : agents_) {
            handle(*node, options_.agent_cost, [this, agent = node.get()] {
                agent->core->tick(now_);
                flush(*agent);
            });
        }
        sample_utilization();
        at(now_ + tick_interval, [this] { tick(); });
    }

    void sample_utilization() {
        const milliseconds since{std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()) - warm_up};
        if (since < options_.burst_begin || since >= options_.burst_end)
            return;
        std::int64_t used = 0;
        std::int64_t all = 0;
        for (const auto& agent : agents_) {
            used += agent->used;
            all += agent->millicores;
        }
        utilization_sum_ += static_cast<double>(used) / static_cast<double>(all);
        ++samples_;
    }

    std::chrono::microseconds network_delay() { return std::chrono::microseconds{200 + random_below(1600)}; }

    void flush(entry_node& node) {
        entry_output output = node.core->take_output(now_);
        const int entry =
            static_cast<int>(std::find_if(entries_.begin(), entries_.end(),
                                          [&](const auto& other) { return other.get() == &node; }) -
                             entries_.begin());
        if (options_.has_peers) {
            for (const store_request& request : output.store_calls)
                call_store(node, request);
        }
        for (auto& [link, message] : output.messages) {
            if (link >= first_peer_link()) {
                deliver_to_peer(link, message);
                continue;
            }
            agent_node& agent = *agents_[(link - 1) / static_cast<link_number>(options_.entries)];
            deliver(link, true, agent, options_.agent_cost, [this, &agent, link = link, message = message] {
                if (!open_links_.contains(link))
                    return;
                agent.core->received(link, message, now_);
                flush(agent);
            });
        }
        for (const caller_reply& reply : output.replies)
            record_reply(entry, reply);
    }

    void flush(agent_node& node) {
        agent_output output = node.core->take_output(now_);
        for (auto& [link, message] : output.messages) {
            if (const auto* reports = std::get_if<run_reports>(&message)) {
                for (const run_report& report : reports->reports) {
                    if (report.state == run_state::refused && report.reason == run_refusal::no_room)
                        ++returned_runs_;
                }
            }
            entry_node& entry = *entries_[(link - 1) % static_cast<link_number>(options_.entries)];
            deliver(link, false, entry, options_.entry_cost, [this, &entry, link = link, message = message] {
                entry.core->received(link, message, now_, wall_time{} + now_.time_since_epoch());
                flush(entry);
            });
        }
        for (const backend_order& order : output.orders)
            carry_out(node, order);
        for (const decision& made : output.decisions) {
            if (made.what == "serving an entry that needs capacity")
                ++borrowings_;
        }
        close_links(output.links_to_close, node);
        connect_to_served(node);
    }

    // Delivers the messages of one link and direction in the order they were sent.
    void deliver(link_number link, bool to_agent, process& receiver, std::chrono::microseconds cost,
                 std::function<void()> action) {
        ++messages_;
        time_point& last = last_arrival_[{link, to_agent}];
        last = std::max(last, now_ + network_delay());
        at(last, [this, &receiver, cost, action = std::move(action)] { handle(receiver, cost, action); });
    }

    void carry_out(agent_node& agent, const backend_order& order) {
        if (std::uniform_real_distribution<double>{0, 1}(random_) < options_.late_order_fraction) {
            at(now_ + milliseconds{2000 + random_below(10000)}, [this, &agent, order] {
                agent.backend.carry_out(order, now_);
                track_capacity(agent);
            });
            backend_reply missing;
            missing.id = order.id;
            at(now_ + order.timeout, [this, &agent, missing] { answer(agent, missing); });
            return;
        }
        at(now_ + std::chrono::microseconds{300}, [this, &agent, order] {
            const auto* hold = std::get_if<hold_order>(&order.action);
            const backend_reply reply = agent.backend.carry_out(order, now_);
            track_capacity(agent);
            if (hold != nullptr && hold->wait.count() > 0)
                wait_for_update(agent, order, now_ + hold->wait);
            else
                at(now_ + std::chrono::microseconds{300}, [this, &agent, reply] { answer(agent, reply); });
        });
    }

    void answer(agent_node& agent, const backend_reply& reply) {
        handle(agent, options_.agent_cost, [this, &agent, reply] {
            agent.core->replied(reply, now_);
            flush(agent);
        });
    }

    void wait_for_update(agent_node& agent, const backend_order& order, time_point until) {
        agent.backend.advance(now_);
        track_capacity(agent);
        const auto& hold = std::get<hold_order>(order.action);
        if (!agent.backend.has_news(hold.acknowledged_end) && now_ < until) {
            at(now_ + backend_step, [this, &agent, order, until] { wait_for_update(agent, order, until); });
            return;
        }
        backend_order again = order;
        std::get<hold_order>(again.action).renews = false;
        answer(agent, agent.backend.carry_out(again, now_));
    }

    void track_capacity(agent_node& agent) {
        for (const order_backend::event& happened : agent.backend.take_events()) {
            if (happened.what == order_backend::event::kind::started) {
                const std::int64_t needs = needs_[happened.run.task.job];
                agent.running[happened.run] = needs;
                agent.used += needs;
            } else if (const auto found = agent.running.find(happened.run); found != agent.running.end()) {
                agent.used -= found->second;
                agent.running.erase(found);
            }
        }
        // Orders that a backend server executes late can exceed its capacity, and the agent cannot prevent
        // it.
        if (agent.used > agent.millicores && options_.late_order_fraction == 0)
            is_capacity_respected_ = false;
    }

    // ---- Callers ----

    void schedule_next(const load_class& kind, time_point from) {
        const milliseconds since{std::chrono::duration_cast<milliseconds>(from.time_since_epoch()) - warm_up};
        if (since >= options_.duration)
            return;
        const bool is_burst = since >= options_.burst_begin && since < options_.burst_end;
        const double rate = kind.jobs_per_second * (is_burst ? options_.burst : 1);
        const double pause = std::exponential_distribution<double>{rate}(traffic_random_);
        const time_point next = from + std::chrono::microseconds{static_cast<std::int64_t>(1e6 * pause)};
        at(next, [this, &kind, next] {
            submit(kind);
            schedule_next(kind, next);
        });
    }

    void submit(const load_class& kind) {
        // Work varies more between jobs of one kind than between the tasks of one job, and callers' estimates
        // are imprecise.
        constexpr double job_spread = 0.4;
        constexpr double task_spread = 0.15;
        constexpr double estimate_spread = 0.4;
        const auto random_factor = [this](double spread) {
            return std::lognormal_distribution<double>{-spread * spread / 2, spread}(traffic_random_);
        };
        const double work = static_cast<double>(kind.mean_work.count()) * random_factor(job_spread);
        const int number = ++last_job_;
        const std::string digits = std::to_string(number);
        job_submission request;
        request.job = std::string(16 - digits.size(), '0') + digits;
        request.queue = kind.queue;
        request.token = static_cast<caller_token>(number);
        request.plan.is_durable = false;
        job_step step;
        step.task_count = static_cast<std::uint32_t>(
            std::max<std::int64_t>(1, std::llround(kind.mean_tasks * random_factor(job_spread))));
        step.task_needs = {kind.millicores, 64, 0};
        step.estimate_ms = std::max<std::int64_t>(1, std::llround(work * random_factor(estimate_spread)));
        request.plan.steps.push_back(step);
        needs_[request.job] = kind.millicores;
        milliseconds longest{1};
        for (task_index i = 0; i < step.task_count; ++i) {
            const milliseconds task_work{
                std::max<std::int64_t>(1, std::llround(work * random_factor(task_spread)))};
            longest = std::max(longest, task_work);
            for (const auto& agent : agents_)
                agent->backend.set_work({request.job, 0, 0, i}, task_work);
        }
        const milliseconds objective{
            static_cast<std::int64_t>(max_stretch * static_cast<double>(longest.count())) + slack.count()};
        const milliseconds caller_timeout = 3 * objective + extra_caller_timeout;
        request.answer_by = now_ + caller_timeout;
        ++outcomes_[kind.queue].jobs;
        const int entry = choose_entry();
        const caller_token token = request.token;
        calls_[token] = {kind.queue, now_, objective, entry, kind.millicores};
        if (options_.has_peers)
            at(now_ + objective, [this, token] {
                const auto found = calls_.find(token);
                if (found != calls_.end() &&
                    has_unreachable_capacity(found->second.entry, found->second.millicores))
                    ++missed_while_others_free_;
            });
        at(now_ + network_delay(), [this, entry, request] {
            handle(*entries_[entry], 3 * options_.entry_cost, [this, entry, request] {
                entries_[entry]->core->submit(request, now_, wall_time{} + now_.time_since_epoch());
                flush(*entries_[entry]);
            });
        });
        at(now_ + caller_timeout, [this, entry, token] {
            const auto found = calls_.find(token);
            if (found == calls_.end())
                return;
            ++outcomes_[found->second.queue].unanswered;
            calls_.erase(found);
            handle(*entries_[entry], options_.entry_cost, [this, entry, token] {
                entries_[entry]->core->caller_left(token, now_);
                flush(*entries_[entry]);
            });
        });
    }

    void record_reply(int, const caller_reply& reply) {
        at(now_ + network_delay(), [this, reply] {
            const auto found = calls_.find(reply.token);
            if (found == calls_.end())
                return;
            const open_call call = found->second;
            calls_.erase(found);
            load_outcome& outcome = outcomes_[call.queue];
            const auto took = std::chrono::duration_cast<milliseconds>(now_ - call.sent);
            if (reply.kind == caller_reply_kind::refused) {
                ++outcome.refused;
                if (options_.has_peers && took <= call.objective &&
                    has_unreachable_capacity(call.entry, call.millicores))
                    ++missed_while_others_free_;
                outcome.slowest_refusal = std::max(outcome.slowest_refusal, took);
                outcome.refusal_time += took;
                if (took <= call.objective)
                    ++outcome.refused_in_time;
            } else if (reply.kind != caller_reply_kind::state || reply.state != job_state::completed) {
                ++outcome.unanswered;
            } else if (took <= call.objective) {
                ++outcome.in_time;
            } else if (took <= 3 * call.objective) {
                ++outcome.late;
            } else {
                ++outcome.too_late;
            }
        });
    }

    options options_;
    std::mt19937_64 random_;
    // A generator of its own, so that the same jobs arrive whatever the entries and agents decide.
    std::mt19937_64 traffic_random_;
    time_point now_{};
    std::uint64_t last_event_order_ = 0;
    std::priority_queue<event> events_;
    std::vector<std::unique_ptr<entry_node>> entries_;
    std::vector<std::unique_ptr<agent_node>> agents_;
    std::map<std::pair<link_number, bool>, time_point> last_arrival_;
    std::map<std::string, std::int64_t> needs_;
    std::map<caller_token, open_call> calls_;
    std::map<std::string, load_outcome> outcomes_;
    int last_job_ = 0;
    std::size_t messages_ = 0;
    double utilization_sum_ = 0;
    std::size_t samples_ = 0;
    std::size_t returned_runs_ = 0;
    std::size_t missed_while_others_free_ = 0;
    std::size_t borrowings_ = 0;
    kv_model store_;
    std::uint64_t last_session_ = 1;
    std::set<link_number> open_links_;
    bool is_capacity_respected_ = true;
};

} // namespace persimmonstile
