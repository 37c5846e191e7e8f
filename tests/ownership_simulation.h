#pragma once

#include "coordination/grantor.h"
#include "coordination/majority.h"
#include "coordination/ownership.h"
#include "state/limits.h"

#include <algorithm>
#include <array>
#include <bitset>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

using std::chrono::nanoseconds;
using namespace std::chrono_literals;

// Faults that the simulation can inject. noise drops, duplicates and delays messages on all links.
enum class fault_kind : std::uint8_t {
    pause_entry,
    kill_entry,
    leave_entry,
    pause_agent,
    restart_agent,
    cut_to_agent,
    cut_to_entry,
    isolate_entry,
    store_down,
    store_loses_answers,
    noise,
    count
};

// A fault with its start, duration and target. Kinds without a target ignore entry and agent.
struct fault {
    nanoseconds time{};
    fault_kind kind = fault_kind::noise;
    std::size_t entry = 0;
    std::size_t agent = 0;
    nanoseconds duration{};
};

inline std::ostream& operator<<(std::ostream& out, const fault& injected) {
    static constexpr std::array names{"pause_entry",   "kill_entry",          "leave_entry",  "pause_agent",
                                      "restart_agent", "cut_to_agent",        "cut_to_entry", "isolate_entry",
                                      "store_down",    "store_loses_answers", "noise"};
    return out << injected.time / 1ms << " ms: " << names[static_cast<std::size_t>(injected.kind)]
               << " entry " << injected.entry << " agent " << injected.agent << " for "
               << injected.duration / 1ms << " ms\n";
}

// Size of the simulated cell and the conditions under which it runs.
struct simulation_options {
    std::size_t entries = 3;
    std::size_t agents = 3;
    // Agents that exist only after add_agents().
    std::size_t spare_agents = 0;
    std::size_t minimum_grantors = 3;
    // Maximum deviation of the clock rate of a process from 1.
    double max_clock_rate_deviation = 0.02;
    // Delays one message in twenty by up to 300 ms, also when no fault is active.
    bool has_slow_messages = true;
    // Allows restarts after which no majority of grantors keeps its state. Partitions may then stay without
    // an owner.
    bool allows_majority_loss = false;
};

// Discrete-event simulation of entries, agents and a simulated store on one clock. Checks the invariants of
// ownership while it runs and keeps the first violation.
class ownership_simulation {
public:
    // A simulated process with its own clock rate. backlog holds the actions that arrive while it is
    // paused; logic is null while the process is not running.
    template <typename Logic> struct process {
        incarnation id;
        std::unique_ptr<Logic> logic;
        double clock_rate = 1;
        bool is_paused = false;
        std::deque<std::function<void()>> backlog;
    };
    // An entry with the times of its store calls and a cache of the partitions that it may act for under a
    // lease. are_owned_partitions_known is false when the cache is stale.
    struct entry_process : process<ownership> {
        std::bitset<partition_count> owned_partitions;
        bool are_owned_partitions_known = false;
        table_version version = 0;
        std::vector<nanoseconds> store_calls;
        std::optional<nanoseconds> last_failed_call;
        bool is_leaving = false;
    };
    using agent_process = process<grantor>;
    // Number and total size of control messages.
    struct traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    ownership_simulation(const simulation_options& options, std::uint64_t seed)
        : options_{options}
        , random_{seed}
        , entries_(options.entries)
        , agents_(options.agents + options.spare_agents)
        , links_(options.entries * agents_.size()) {
        add_agents(options.agents);
        for (std::size_t i = 0; i < entries_.size(); ++i)
            schedule(nanoseconds{random_() % 300'000'000}, [this, i] { start_entry(i); });
        schedule_every(100ms, [this] { update_links(); });
        schedule_every(50ms, [this] { tick_all(); });
    }

    void run_for(nanoseconds duration) {
        run_until(now_ + duration, [] { return false; });
    }

    // Runs until the time or until the condition holds after an event. Returns whether the condition held.
    template <typename Condition> bool run_until(nanoseconds end, Condition&& condition) {
        while (!events_.empty() && events_.top().time <= end && !violation_) {
            auto event = std::move(const_cast<scheduled&>(events_.top()));
            events_.pop();
            now_ = event.time;
            event.action();
            check_owners();
            if (condition())
                return true;
        }
        now_ = std::max(now_, end);
        return false;
    }

    void start_entry(std::size_t i) {
        entry_process& entry = entries_[i];
        if (entry.logic)
            return;
        entry = {};
        entry.id = {"entry" + std::to_string(i), ++last_number_};
        entry.clock_rate = random_clock_rate();
        entry.logic = std::make_unique<ownership>(entry.id, "address", options_.minimum_grantors);
        for (std::size_t a = 0; a < agents_.size(); ++a)
            link_of(i, a).connected_agent.reset();
    }
    void kill_entry(std::size_t i) { entries_[i].logic.reset(); }
    void start_agent(std::size_t i) {
        agent_process& agent = agents_[i];
        agent = {};
        agent.id = {"agent" + std::to_string(i), ++last_number_};
        agent.clock_rate = random_clock_rate();
        agent.logic = std::make_unique<grantor>(agent.id, local_time(agent));
    }
    // Starts further agents.
    void add_agents(std::size_t count) {
        for (; count > 0; --count)
            start_agent(started_agents_++);
    }
    void kill_agent(std::size_t i) { agents_[i].logic.reset(); }
    void pause(auto& p) { p.is_paused = true; }
    void resume(auto& p) {
        p.is_paused = false;
        for (auto backlog = std::exchange(p.backlog, {}); auto& action : backlog) {
            action();
            check_owners();
        }
    }
    void leave_entry(std::size_t i) {
        entry_process& entry = entries_[i];
        if (!entry.logic || entry.is_paused)
            return;
        entry.is_leaving = true;
        apply_actions(i, entry.logic->leave(local_time(entry)));
    }

    // Cuts the links of the entry to all agents but one in both directions (change 1), or restores them
    // (change -1).
    void isolate_entry(std::size_t e, std::size_t reachable_agent, int change) {
        for (std::size_t a = 0; a < agents_.size(); ++a) {
            if (a == reachable_agent)
                continue;
            link_of(e, a).cut_to_agent += change;
            link_of(e, a).cut_to_entry += change;
        }
    }

    void apply(const fault& injected) {
        entry_process& entry = entries_[injected.entry];
        agent_process& agent = agents_[injected.agent];
        link& faulty_link = link_of(injected.entry, injected.agent);
        const auto later = [&](auto action) {
            schedule(injected.duration, std::move(action));
        };
        switch (injected.kind) {
        case fault_kind::pause_entry:
            pause(entry);
            return later([&] { resume(entry); });
        case fault_kind::leave_entry:
            leave_entry(injected.entry);
            return later([this, injected] { kill_entry(injected.entry), start_entry(injected.entry); });
        case fault_kind::kill_entry:
            kill_entry(injected.entry);
            return later([this, injected] { start_entry(injected.entry); });
        case fault_kind::pause_agent:
            pause(agent);
            return later([&] { resume(agent); });
        case fault_kind::restart_agent:
            if (!options_.allows_majority_loss && !has_recovered_majority_without(injected.agent))
                return;
            kill_agent(injected.agent);
            return later(
                [this, injected] { agents_[injected.agent].logic ? void() : start_agent(injected.agent); });
        case fault_kind::cut_to_agent:
            ++faulty_link.cut_to_agent;
            return later([&] { --faulty_link.cut_to_agent; });
        case fault_kind::cut_to_entry:
            ++faulty_link.cut_to_entry;
            return later([&] { --faulty_link.cut_to_entry; });
        case fault_kind::isolate_entry:
            isolate_entry(injected.entry, injected.agent, 1);
            return later([this, injected] { isolate_entry(injected.entry, injected.agent, -1); });
        case fault_kind::store_down:
            ++active_store_outages_;
            return later([this] { --active_store_outages_; });
        case fault_kind::store_loses_answers:
            ++active_answer_losses_;
            return later([this] { --active_answer_losses_; });
        case fault_kind::noise:
        case fault_kind::count:
            ++active_noise_faults_;
            return later([this] { --active_noise_faults_; });
        }
    }

    std::vector<fault> schedule_random_faults(nanoseconds end) {
        std::vector<fault> faults(1 + random_() % 8);
        for (fault& injected : faults) {
            injected.time = nanoseconds{static_cast<std::int64_t>(random_() % end.count())};
            injected.kind = static_cast<fault_kind>(random_() % static_cast<unsigned>(fault_kind::count));
            injected.entry = random_() % entries_.size();
            injected.agent = random_() % agents_.size();
            injected.duration =
                std::min<nanoseconds>(nanoseconds{random_() % 6'000'000'000}, end - injected.time);
        }
        std::sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.time < b.time; });
        for (const fault& injected : faults)
            schedule(injected.time - now_, [this, injected] { apply(injected); });
        return faults;
    }

    // Index of the entry that may act for the partition now, or nullopt.
    std::optional<std::size_t> owner_of(partition_id partition) const {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            const entry_process& entry = entries_[i];
            if (entry.logic && !entry.is_paused && entry.logic->owns(partition, local_time(entry)))
                return i;
        }
        return std::nullopt;
    }
    bool are_all_owned() const {
        for (partition_id p = 0; p < partition_count; ++p) {
            if (!owner_of(p))
                return false;
        }
        return true;
    }
    bool run_until_owned(nanoseconds limit) {
        return run_until(now_ + limit, [this] { return are_all_owned(); });
    }

    entry_process& entry(std::size_t i) { return entries_[i]; }
    agent_process& agent(std::size_t i) { return agents_[i]; }
    const std::optional<owner_table>& stored() const { return stored_; }
    nanoseconds now() const { return now_; }
    const std::optional<std::string>& violation() const { return violation_; }
    template <typename Process> time_point local_time(const Process& p) const {
        return time_point{1h + nanoseconds{static_cast<std::int64_t>(now_.count() * p.clock_rate)}};
    }
    // From now on adds all messages between entries and agents to total. size returns the bytes of one
    // message.
    void count_traffic(traffic& total, std::function<std::size_t(const control_message&)> size) {
        traffic_ = &total;
        message_size_ = std::move(size);
    }
    void add_violation(const std::string& what) {
        if (!violation_)
            violation_ = "at " + std::to_string(now_ / 1ms) + " ms: " + what;
    }

private:
    // An event of the simulation. Events at the same time run in the order in which they were scheduled.
    struct scheduled {
        nanoseconds time;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const scheduled& other) const {
            return std::tie(time, sequence) > std::tie(other.time, other.sequence);
        }
    };
    // The link between an entry and an agent. A direction is cut while its count of active faults is above
    // 0.
    struct link {
        int cut_to_agent = 0;
        int cut_to_entry = 0;
        std::optional<incarnation> connected_agent;
        std::optional<nanoseconds> silent_since;
    };

    link& link_of(std::size_t entry, std::size_t agent) { return links_[entry * agents_.size() + agent]; }
    // Returns one of the two extremes or 1. The difference between the extremes is the hardest case for
    // fencing.
    double random_clock_rate() {
        const double step = static_cast<double>(random_() % 3) - 1;
        return 1 + step * options_.max_clock_rate_deviation;
    }
    bool chance(unsigned percent) { return random_() % 100 < percent; }
    nanoseconds random_time(nanoseconds min_time, nanoseconds max_time) {
        return min_time + nanoseconds{static_cast<std::int64_t>(random_() % (max_time - min_time).count())};
    }
    void schedule(nanoseconds delay, std::function<void()> action) {
        events_.push({now_ + delay, ++last_sequence_, std::move(action)});
    }
    void schedule_every(nanoseconds interval, std::function<void()> action) {
        schedule(interval, [this, interval, action] {
            action();
            schedule_every(interval, action);
        });
    }

    // Runs the action in the process after the delay, or at the end of its pause. Drops it if the process
    // was killed or replaced by then.
    template <typename Process> void post(Process& target, nanoseconds delay, std::function<void()> action) {
        schedule(delay, [&target, id = target.id, action = std::move(action)]() mutable {
            if (!target.logic || target.id != id)
                return;
            if (target.is_paused) {
                target.backlog.push_back([&target, id, action = std::move(action)] {
                    if (target.logic && target.id == id)
                        action();
                });
                return;
            }
            action();
        });
    }
    nanoseconds random_delay() {
        if (active_noise_faults_ > 0)
            return random_time(1ms, 500ms);
        return options_.has_slow_messages && chance(5) ? random_time(2ms, 300ms) : random_time(500us, 2ms);
    }
    template <typename Process> void transmit(Process& target, bool cut, std::function<void()> action) {
        if (cut || (active_noise_faults_ > 0 && chance(20)))
            return;
        const int copies = active_noise_faults_ > 0 && chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            post(target, random_delay(), action);
    }

    void send_to_agent(std::size_t e, const incarnation& to, const control_message& message) {
        const auto a = static_cast<std::size_t>(std::stoul(to.name.substr(5)));
        if (agents_[a].id != to || link_of(e, a).connected_agent != to)
            return;
        count(message);
        transmit(agents_[a], link_of(e, a).cut_to_agent > 0,
                 [this, e, a, message] { agent_receives(a, e, message); });
    }
    void send_to_entry(std::size_t a, std::size_t e, const control_message& message) {
        if (!entries_[e].logic || link_of(e, a).connected_agent != agents_[a].id)
            return;
        count(message);
        transmit(entries_[e], link_of(e, a).cut_to_entry > 0,
                 [this, e, a, message] { entry_receives(e, agents_[a].id, message); });
    }
    void count(const control_message& message) {
        if (traffic_ == nullptr)
            return;
        ++traffic_->messages;
        traffic_->bytes += message_size_(message);
    }

    void agent_receives(std::size_t a, std::size_t e, const control_message& message) {
        grantor& logic = *agents_[a].logic;
        const time_point now = local_time(agents_[a]);
        const table_version before = logic.table().version;
        if (const auto* request = std::get_if<grant_request>(&message)) {
            const grant_reply reply = logic.request(*request, 0, now);
            for (const incarnation& silent : reply.silent_owners)
                silence_reported_at_[{agents_[a].id.name, silent}] = now_;
            send_to_entry(a, e, reply);
        } else if (const auto* push = std::get_if<table_push>(&message))
            send_to_entry(a, e, logic.push(push->table, now));
        else if (const auto* question = std::get_if<recovery_request>(&message)) {
            if (const auto reply = logic.answer(*question))
                send_to_entry(a, e, *reply);
        } else if (const auto* answer = std::get_if<recovery_reply>(&message))
            logic.handle_recovery_reply(*answer, now);
        else if (const auto* wanted = std::get_if<content_request>(&message)) {
            if (logic.table().version > wanted->known_version)
                send_to_entry(a, e, table_push{logic.table()});
        }
        if (logic.table().version < before)
            add_violation(agents_[a].id.name + " replaced its table by an older version");
    }

    void entry_receives(std::size_t e, const incarnation& from, const control_message& message) {
        ownership& logic = *entries_[e].logic;
        const time_point now = local_time(entries_[e]);
        if (const auto* granted = std::get_if<grant_reply>(&message)) {
            apply_actions(e, logic.grant_replied(*granted, now));
            record_confirmation_times(logic);
        } else if (const auto* ack = std::get_if<table_ack>(&message))
            apply_actions(e, logic.table_acknowledged(*ack, now));
        else if (const auto* push = std::get_if<table_push>(&message))
            apply_actions(e, logic.table_received(push->table, now));
        else if (const auto* question = std::get_if<recovery_request>(&message)) {
            for (agent_process& agent : agents_) {
                if (agent.id != from)
                    send_to_agent(e, agent.id, *question);
            }
        } else if (const auto* reply = std::get_if<recovery_reply>(&message)) {
            if (reply->requester == entries_[e].id)
                apply_actions(e, logic.records_replied(*reply, now));
            else if (reply->requester.name.starts_with("agent"))
                send_to_agent(e, reply->requester, *reply);
        }
    }

    void apply_actions(std::size_t e, const ownership_actions& actions) {
        entry_process& entry = entries_[e];
        for (const outgoing_control_message& send : actions.sends)
            send_to_agent(e, send.to, send.message);
        for (const partition_gain& gain : actions.gained)
            check_gain(entry, gain);
        if (!actions.gained.empty() || !actions.lost.empty() || actions.table_changed)
            entry.are_owned_partitions_known = false;
        if (entry.logic->table().version < entry.version)
            add_violation(entry.id.name + " replaced its table by an older version");
        entry.version = entry.logic->table().version;
        if (actions.read_table || actions.write)
            check_store_call_rate(entry);
        if (actions.write)
            check_removals(entry, actions.write->table);
        if (actions.read_table)
            schedule(random_time(1ms, 5ms), [this, e, id = entry.id] { store_read(e, id); });
        if (actions.write)
            schedule(random_time(1ms, 5ms),
                     [this, e, id = entry.id, write = *actions.write] { store_write(e, id, write); });
    }

    void store_read(std::size_t e, const incarnation& id) {
        if (entries_[e].id != id)
            return;
        const bool lost = active_store_outages_ > 0 || (active_answer_losses_ > 0 && chance(50));
        if (lost)
            return answer(e, 500ms, [this, e](ownership& o, time_point now) {
                entries_[e].last_failed_call = now_;
                return o.table_unavailable(now);
            });
        answer(e, random_time(1ms, 5ms),
               [table = stored_, mod_revision = mod_revision_](ownership& o, time_point now) {
                   return o.table_read(table, table ? mod_revision : 0, now);
               });
    }
    void store_write(std::size_t e, const incarnation& id, const table_write& write) {
        if (entries_[e].id != id)
            return;
        const auto respond = [this, e](nanoseconds delay, table_write_result result) {
            answer(e, delay, [this, e, result](ownership& o, time_point now) {
                if (result == table_write_result::unavailable)
                    entries_[e].last_failed_call = now_;
                return o.table_written(result, now);
            });
        };
        if (active_store_outages_ > 0)
            return respond(500ms, table_write_result::unavailable);
        if (active_answer_losses_ > 0 && chance(50)) {
            // The write takes effect either now or up to 3 s later, when the writer may already have timed
            // out.
            schedule(chance(50) ? 0ms : random_time(0ms, 3000ms), [this, write] { commit(write); });
            return respond(500ms, table_write_result::unavailable);
        }
        const bool committed = commit(write);
        respond(random_time(1ms, 5ms),
                committed ? table_write_result::committed : table_write_result::lost_race);
    }
    void answer(std::size_t e, nanoseconds delay,
                std::function<ownership_actions(ownership&, time_point)> event) {
        post(entries_[e], delay, [this, e, event = std::move(event)] {
            apply_actions(e, event(*entries_[e].logic, local_time(entries_[e])));
        });
    }
    bool commit(const table_write& write) {
        if (write.expected_mod_revision != (stored_ ? mod_revision_ : 0))
            return false;
        check_successor(write.table);
        stored_ = write.table;
        ++mod_revision_;
        return true;
    }

    void check_successor(const owner_table& next) {
        const table_version before = stored_ ? stored_->version : 0;
        if (next.version != before + 1 || next.partitions.size() != partition_count)
            add_violation("table " + std::to_string(next.version) + " was written after version " +
                          std::to_string(before));
        for (std::size_t p = 0; stored_ && p < partition_count; ++p) {
            const partition_owner& old = stored_->partitions[p];
            const epoch_number expected = old.epoch + (next.partitions[p].owner == old.owner ? 0 : 1);
            if (next.partitions[p].epoch != expected)
                add_violation("epoch of partition " + std::to_string(p) +
                              " does not match the change of its owner");
        }
    }
    // An entry may remove another one only if a majority of the grantors reported that one as silent within
    // the last second (with 50 ms of tolerance).
    void check_removals(const entry_process& writer, const owner_table& next) {
        const owner_table& base = writer.logic->table();
        for (const entry_address& known : base.entries) {
            if (known.entry.name == writer.id.name || has_entry(next, known.entry))
                continue;
            const bool is_reported = majority_satisfies(base.grantors, [&](const std::string& name) {
                const auto found = silence_reported_at_.find({name, known.entry});
                return found != silence_reported_at_.end() && now_ - found->second <= 1050ms;
            });
            if (!is_reported)
                add_violation(writer.id.name + " removes " + known.entry.name +
                              " without silence reports from a majority of grantors");
        }
    }
    // Two calls may follow each other directly, but calls within 10 s after a failure must be 1 s apart.
    // Three calls within 2 s are never allowed.
    void check_store_call_rate(entry_process& entry) {
        entry.store_calls.push_back(now_);
        // The entry measures intervals with its own clock, which may run fast.
        const nanoseconds interval{static_cast<std::int64_t>(1e9 / (1 + options_.max_clock_rate_deviation))};
        const std::size_t n = entry.store_calls.size();
        const bool is_strict = entry.last_failed_call && now_ - *entry.last_failed_call < 9800ms;
        if (n >= 2 && is_strict && now_ - entry.store_calls[n - 2] < interval)
            add_violation(entry.id.name +
                          " called the store twice within 1 s, less than 10 s after a failure");
        if (n >= 3 && now_ - entry.store_calls[n - 3] < 2 * interval)
            add_violation(entry.id.name + " called the store three times within 2 s");
    }
    // A new owner must receive every agent that was recorded while an earlier owner could still act.
    void check_gain(const entry_process& entry, const partition_gain& gain) {
        if (gain.is_first_epoch)
            return;
        for (const auto& [agent, recorded_at] : recorded_at_) {
            const bool known = std::find(gain.previous_agents.begin(), gain.previous_agents.end(), agent) !=
                               gain.previous_agents.end();
            if (recorded_at <= last_owned_at_[gain.partition] && !known)
                add_violation(entry.id.name + " did not receive the record of " + agent.name + " " +
                              std::to_string(agent.number));
        }
    }
    void record_confirmation_times(const ownership& logic) {
        for (const agent_process& agent : agents_) {
            if (!recorded_at_.contains(agent.id) && logic.is_recorded(agent.id))
                recorded_at_[agent.id] = now_;
        }
    }
    void check_owners() {
        std::bitset<partition_count> owned;
        for (entry_process& entry : entries_) {
            if (!entry.logic || entry.logic->lease_left(local_time(entry)).count() <= 0)
                continue;
            if (!entry.are_owned_partitions_known) {
                for (partition_id p = 0; p < partition_count; ++p)
                    entry.owned_partitions[p] = entry.logic->owns(p, local_time(entry));
                entry.are_owned_partitions_known = true;
            }
            if ((owned & entry.owned_partitions).any())
                add_violation(entry.id.name + " owns partitions that another entry owns too");
            owned |= entry.owned_partitions;
        }
        for (partition_id p = 0; p < partition_count; ++p) {
            if (owned[p])
                last_owned_at_[p] = now_;
        }
    }

    void update_links() {
        for (std::size_t e = 0; e < entries_.size(); ++e) {
            for (std::size_t a = 0; a < agents_.size(); ++a)
                update_link(e, a);
        }
    }
    void update_link(std::size_t e, std::size_t a) {
        entry_process& entry = entries_[e];
        agent_process& agent = agents_[a];
        link& link_state = link_of(e, a);
        if (!entry.logic)
            return;
        const bool silent =
            link_state.cut_to_agent > 0 || link_state.cut_to_entry > 0 || entry.is_paused || agent.is_paused;
        if (!silent)
            link_state.silent_since.reset();
        else if (!link_state.silent_since)
            link_state.silent_since = now_;
        const bool is_usable = agent.logic && !silent;
        const bool expired =
            link_state.silent_since && now_ - *link_state.silent_since >= connection_silence_timeout;
        if (link_state.connected_agent &&
            (!agent.logic || *link_state.connected_agent != agent.id || expired)) {
            answer(e, 0ns, [id = *link_state.connected_agent](ownership& o, time_point now) {
                return o.agent_disconnected(id, now);
            });
            link_state.connected_agent.reset();
        }
        if (!link_state.connected_agent && is_usable) {
            link_state.connected_agent = agent.id;
            answer(e, 0ns,
                   [id = agent.id](ownership& o, time_point now) { return o.agent_connected(id, now); });
        }
    }
    void tick_all() {
        for (std::size_t e = 0; e < entries_.size(); ++e) {
            entry_process& entry = entries_[e];
            if (!entry.logic || entry.is_paused)
                continue;
            apply_actions(e, entry.logic->tick(local_time(entry)));
            if (entry.is_leaving && entry.logic->has_left())
                kill_entry(e);
        }
        for (std::size_t a = 0; a < agents_.size(); ++a) {
            agent_process& agent = agents_[a];
            if (!agent.logic || agent.is_paused)
                continue;
            if (const auto question = agent.logic->take_recovery_request(local_time(agent))) {
                for (std::size_t e = 0; e < entries_.size(); ++e)
                    send_to_entry(a, e, *question);
            }
        }
    }
    bool has_recovered_majority_without(std::size_t excluded) const {
        return stored_ && majority_satisfies(stored_->grantors, [&](const std::string& name) {
                   const auto a = static_cast<std::size_t>(std::stoul(name.substr(5)));
                   return a != excluded && agents_[a].logic && !agents_[a].logic->is_recovering();
               });
    }

    simulation_options options_;
    std::mt19937_64 random_;
    std::vector<entry_process> entries_;
    std::vector<agent_process> agents_;
    std::vector<link> links_;
    std::priority_queue<scheduled> events_;
    nanoseconds now_{};
    std::uint64_t last_sequence_ = 0;
    std::uint64_t last_number_ = 0;
    std::optional<owner_table> stored_;
    std::int64_t mod_revision_ = 0;
    std::size_t started_agents_ = 0;
    int active_store_outages_ = 0;
    int active_answer_losses_ = 0;
    int active_noise_faults_ = 0;
    std::map<incarnation, nanoseconds> recorded_at_;
    std::array<nanoseconds, partition_count> last_owned_at_{};
    std::map<std::pair<std::string, incarnation>, nanoseconds> silence_reported_at_;
    traffic* traffic_ = nullptr;
    std::function<std::size_t(const control_message&)> message_size_;
    std::optional<std::string> violation_;
};

} // namespace persimmonstile
