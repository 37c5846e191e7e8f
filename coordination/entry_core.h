#pragma once

#include "coordination/admission/admission_control.h"
#include "coordination/adoption_progress.h"
#include "coordination/agent_directory.h"
#include "coordination/balance/agent_requester.h"
#include "coordination/balance/agent_selector.h"
#include "coordination/balance/unmet_demand.h"
#include "coordination/commit_queue.h"
#include "coordination/ended_jobs.h"
#include "coordination/entry_limits.h"
#include "coordination/entry_output.h"
#include "coordination/job_ledger.h"
#include "coordination/job_locator.h"
#include "coordination/job_submission.h"
#include "coordination/orphan_run_tracker.h"
#include "coordination/prefix_view.h"
#include "coordination/presence/pending_counts.h"
#include "coordination/run_planner.h"
#include "coordination/run_time_model.h"
#include "coordination/session_manager.h"
#include "coordination/waiting_callers.h"
#include "state/clock_source.h"
#include "state/deployment_config.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Makes the decisions of an entry: accepts jobs, places their tasks at agents, records the ends of durable
// jobs, and adopts the jobs of entries that have stopped. Deterministic and without I/O. A durable job is in
// the store before its caller is told that it is accepted, so it survives its entry. A non-durable job is not
// stored and lasts only while a caller waits for it.
class entry_core {
public:
    // The operators' configuration is stored under keys with config_prefix. process owns the runs of
    // non-durable jobs. next_session returns the number of each new session.
    entry_core(incarnation process, entry_record self, const entry_limits& limits,
               const std::string& config_prefix, std::uint64_t seed,
               std::function<std::uint64_t()> next_session);

    // Whether the operators' records have changed, or were read for the first time, since the last call. If
    // so, the caller decodes them and calls set_config.
    bool take_config_change() { return operator_records_.take_change(); }
    const prefix_view& operator_records() const { return operator_records_; }
    void set_config(std::shared_ptr<const deployment_config> config, time_point now);
    const deployment_config* config() const { return config_.get(); }

    // Requests of callers. Each token gets one reply, unless caller_left is called before.
    void submit(const job_submission& request, time_point now, wall_time wall);
    void query_state(caller_token token, const job_id& job, time_point answer_by, time_point now);
    void cancel(caller_token token, const job_id& job, time_point answer_by, time_point now, wall_time wall);
    // The caller's connection was closed, so it gets no reply. A non-durable job is dropped when its last
    // caller leaves.
    void caller_left(caller_token token, time_point now);
    // Number of durable jobs of the queue, at all entries, that are accepted and have not started. Empty
    // while the number of another entry is not known, after this one has started.
    std::optional<std::uint64_t> pending(const std::string& queue) const;

    // Connections. A connection that this process dialed leads to another entry.
    void link_opened(link_number link, bool is_dialed, time_point now);
    void link_closed(link_number link);
    void received(link_number link, const work_message& message, time_point now, wall_time wall);

    void store_replied(std::uint64_t id, const store_reply& reply, time_point now, wall_time wall);

    void tick(time_point now, wall_time wall);
    time_point next_wakeup(time_point now) const;
    entry_output take_output(time_point now);

    // Whether new connections should be opened to this entry.
    bool is_ready() const;
    // Refuses new durable jobs from refuse_at on, and new non-durable jobs from hand_over_at on or once the
    // entry leaves its session. After refuse_at the entry leaves its session when all jobs have ended, at
    // hand_over_at at the latest. Jobs that are open then are handed over to the other entries.
    void begin_shutdown(time_point refuse_at, time_point hand_over_at, time_point now);
    // Answers all callers that still wait, with an uncertain outcome, and stops the runs of their non-durable
    // jobs. Called right before the process exits.
    void answer_waiting_callers();
    bool has_left() const { return session_manager_.has_left(); }
    bool is_shutting_down() const { return is_shutting_down_; }

    const incarnation& session() const { return session_manager_.session(); }
    const member_directory& members() const { return session_manager_.members(); }
    std::size_t connected_agents() const;
    // Including agents that have disconnected and may still have runs of this entry.
    std::size_t known_agents() const { return agents_.all().size(); }
    std::size_t open_jobs() const { return ledger_.jobs().size(); }
    // Links to the connected entries, by name.
    std::map<std::string, link_number> peers() const;

private:
    // A connected entry.
    struct peer_state {
        std::string name;
        incarnation session;
        bool lends_agents = false;
    };

    // The component that made a call to the store and gets the reply.
    enum class store_call_source : std::uint8_t { commits, keeper, locator, operators, orphans };

    // Messages, by type.
    void receive(link_number link, const agent_profile& profile, time_point now);
    void receive(link_number link, const view_ping& ping, time_point now);
    void receive(link_number link, const run_reports& message, time_point now);
    void receive(link_number link, const run_inventory& message, time_point now);
    void receive(link_number link, const peer_hello& message, time_point now);
    void receive(link_number link, const job_lookup_request& message, time_point now);
    void receive(link_number link, const job_lookup_reply& message, time_point now);
    void receive(link_number link, const queue_counts& message, time_point now);
    void receive(link_number link, const connection_request& message, time_point now);
    void receive(link_number link, const room_request& message, time_point now);
    template <typename Other> void receive(link_number, const Other&, time_point) {}

    // Agents.
    void send_welcome(const agent_view& agent);
    void send_welcome_to_all();
    std::vector<std::string> entry_addresses() const;
    static void record_contact(agent_view& agent, std::int64_t reading_ns, time_point now);
    void confirm_ownership();
    ledger_job* find_owned_job(const job_id& id);
    bool is_durable_run(const run_ref& run) const;
    bool is_owner_since(time_point evidence);
    void conclude_confirmed_losses(time_point now);
    void update_free_capacity(agent_view& agent, const agent_free_capacity& reported_capacity,
                              time_point now);
    void apply_report(agent_view& agent, const run_report& report, time_point now);
    static std::int64_t used_millicore_ms(const ledger_job& job, const run_report& report);
    static void mark_started(ledger_job& job);
    void stop_obsolete_runs(agent_view& agent, const run_inventory& message, time_point now);
    static bool is_obsolete(ledger_job& job, const run_ref& run, agent_number agent);
    void stop_other_run(ledger_job& job, const run_ref& done);
    void update_run_time_estimates(agent_view& agent, ledger_job& job, const run_report& report,
                                   const ledger_task& task);
    void process_finished_task(ledger_job& job, const task_ref& task, time_point now);
    void end_former_runs(agent_view& agent, time_point now);
    void expire_unreachable_runs(time_point now);
    void forget_absent_agents(time_point now);
    std::vector<run_ref> missing_runs(const agent_view& agent, const run_inventory& message);
    void conclude_lost_runs(agent_view& agent, const std::vector<run_ref>& missing, time_point now);
    void mark_run_lost(agent_view& agent, const run_ref& run, time_point now);
    void acknowledge(agent_number agent, std::uint64_t life, std::uint64_t number);
    void acknowledge_all(ledger_job& job);
    void claim_orphans(agent_view& agent, const run_inventory& orphans, time_point now);
    void process_orphan_check(std::uint64_t question, const store_reply& answer, time_point now);

    // Jobs.
    void end_job(ledger_job& job, job_state state, time_point now);
    void stop_runs_of(const ledger_job& job);
    void submit_non_durable(const job_submission& request, const queue_policy& queue, time_point now);
    void finish_non_durable(ledger_job& job, job_state state, time_point now);
    void log_job_end(const ledger_job& job, time_point now);
    void drop_non_durable(const job_id& id, time_point now);
    void drop_expired_jobs(time_point now);
    // Refuses a non-durable job of which no task has been placed yet. Does nothing for other jobs.
    void refuse_unplaced_job(ledger_job& job, std::string_view reason, time_point now);
    // Refuses a new non-durable job if it cannot end while it is of use. Returns whether it is admitted.
    bool admit(ledger_job& job, caller_token token, time_point now);
    // Whether the end of the job is still of use to its caller, also if it is late.
    bool is_useful_at(const ledger_job& job, time_point now) const;
    // Refuses or aborts the non-durable jobs whose completion can no longer have value.
    void end_useless_jobs(time_point now);
    void refuse_not_run_job(ledger_job& job, std::string_view reason, time_point now);
    void abort_job(const job_id& id, time_point now);
    const incarnation& owner_of(const ledger_job& job) const;
    void write_progress(time_point now);
    void begin_due_occurrences(time_point now);
    void process_commit_result(const commit_result& result, time_point now);
    void process_acceptance_result(const commit_result& result, time_point now);
    caller_reply finish_acceptance(const commit_result& result, time_point now);
    void process_withdrawal_result(const commit_result& result, time_point now);
    void process_end_result(const commit_result& result, time_point now);
    void forget_expired(time_point now);
    void answer_own_job(const job_locator::own_job& lookup, time_point now);
    void answer_query(const job_id& job, const waiting_caller& caller, time_point now);
    void answer_about_ended(caller_token token, const ended_jobs::ended_job& ended, caller_request request);
    void cancel_job(const job_id& job, const waiting_caller& caller, time_point now);
    void cancel_own_job(ledger_job& job, const waiting_caller& caller, time_point now);
    void end_cancelled_job(ledger_job& job, time_point now);
    // Lets the store record that a job which nobody has accepted is cancelled.
    void withdraw_job(const job_id& job, time_point now);
    void reply(caller_token token, caller_reply_kind kind, job_state state = job_state::unknown);
    void refuse(const job_submission& request, submit_refusal reason, milliseconds retry_after);
    void answer_end_waiters(const job_id& job, job_state state);
    void answer_expired(time_point now);
    bool is_store_failing(time_point now) const;
    static std::shared_ptr<open_job> make_record(const job_submission& request, const queue_policy& queue,
                                                 std::int64_t accepted_ms);

    // Placement.
    void place_tasks(time_point now);
    void send_starts(const std::vector<planned_run>& plan, time_point now);
    void record_placement(const ledger_job& job, const agent_view& agent, const run_start_request& message);
    void record_waiting(const std::vector<ledger_job*>& waiting, time_point now);
    // Load balancing between entries.
    void update_unmet_demands(time_point now);
    void request_agents(time_point now);
    void add_urgency(run_spec& start, const ledger_job& job, milliseconds expected, time_point now) const;

    // Names of the other entries that may have a job and have not answered yet.
    std::set<std::string> unanswered_entries(const std::set<std::string>& answered) const;
    void ask_entries(const job_locator::entry_query& query);

    // Sessions.
    void update_sessions(time_point now);
    void take_adopted(time_point now);
    bool can_settle(const adoption_progress& state, time_point now) const;
    void settle_successions(time_point now);
    void request_agent_connections(time_point now);
    void record_succession_answer(const std::string& agent, const incarnation& former);
    void process_session_loss(time_point now);
    bool is_ownership_certain(time_point now) const;
    void collect_store_calls(time_point now);
    void send_counts(time_point now);
    queue_counts make_counts_message() const;
    pending_counts::by_queue own_counts() const;
    // The former sessions whose jobs are in the ledger.
    std::set<incarnation> adopted_sessions() const;
    void update_counted_sessions();

    void record_timing(entry_timing what, std::chrono::nanoseconds time) {
        output_.timings.emplace_back(what, time);
    }
    void record_decision(std::string_view what, const job_id& job,
                         std::vector<std::pair<std::string_view, decision::value>> inputs,
                         bool is_warning = false);

    incarnation process_;
    std::string name_;
    std::string zone_;
    // Address at which peers and agents connect, "ip:port".
    std::string peer_address_;
    entry_limits limits_;
    std::shared_ptr<const deployment_config> config_;
    session_manager session_manager_;
    incarnation known_session_;
    prefix_view operator_records_;
    commit_queue commits_;
    job_ledger ledger_;
    job_locator locator_;
    agent_directory agents_;
    run_time_model run_time_model_;
    run_planner planner_;
    admission_control admission_;
    agent_requester agent_requester_;
    agent_selector agent_selector_;
    // Tasks that the latest planning pass could not place. Empty unless borrows_agents is set.
    std::vector<unmet_demand> unmet_demands_;
    std::map<incarnation, adoption_progress> successions_;
    time_point connections_requested_at_{};

    std::map<link_number, peer_state> peers_;
    pending_counts pending_counts_;
    // The sessions whose counts are kept may have changed.
    bool are_counted_sessions_outdated_ = false;
    // Version of the members when these sessions were last updated.
    std::uint64_t counted_members_version_ = 0;
    ended_jobs ended_jobs_;
    // Callers that wait for the outcome of the acceptance of a job, and callers that wait for its end.
    waiting_callers acceptance_waiters_;
    waiting_callers end_waiters_;
    orphan_run_tracker orphans_;
    // Numbers of the recorded ends of runs to acknowledge, by agent and lifetime of its backend server.
    std::map<std::pair<agent_number, std::uint64_t>, std::vector<std::uint64_t>> acknowledgements_;

    std::uint64_t last_store_id_ = 0;
    // Calls to the store without a reply: who made each one, and the maker's own id of it.
    std::map<std::uint64_t, std::pair<store_call_source, std::uint64_t>> pending_store_calls_;
    wall_time wall_{};
    time_point counts_sent_at_{};
    // The counts that were last sent to the other entries, and the former sessions that they include.
    pending_counts::by_queue sent_counts_;
    std::set<incarnation> sent_adopted_;
    std::uint64_t sent_config_revision_ = 0;
    // Entry addresses last sent to the agents, and the last version of the members that was checked for
    // changed addresses.
    std::vector<std::string> sent_addresses_;
    std::uint64_t sent_members_version_ = 0;
    time_point addresses_sent_at_{};
    bool is_plan_needed_ = false;
    // When the free capacity was last logged while tasks were waiting.
    time_point waiting_logged_at_{};
    // The sessions must be updated, because time has passed, the store has replied, connections have changed,
    // or an adoption has made progress.
    bool is_session_update_needed_ = true;
    bool is_shutting_down_ = false;
    time_point refuse_at_ = time_point::max();
    time_point hand_over_at_{};
    entry_output output_;
};

} // namespace persimmonstile
