#pragma once

#include "coordination/agent_limits.h"
#include "coordination/agent_output.h"
#include "coordination/backend_announcement.h"
#include "coordination/backend_clock.h"
#include "coordination/backend_health.h"
#include "coordination/backend_reply.h"
#include "coordination/balance/extra_entries.h"
#include "coordination/end_acknowledger.h"
#include "coordination/round_trip_estimate.h"
#include "coordination/run_queue/active_run.h"
#include "coordination/run_queue/early_report.h"
#include "coordination/run_queue/start_plan.h"
#include "coordination/run_queue/typical_needs.h"
#include "coordination/run_table.h"
#include "state/agent_profile.h"
#include "state/incarnation.h"
#include "state/time.h"
#include "state/work_message.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// Decides which orders an agent sends to its backend server and what it reports to the owners of runs. The
// agent is the only client of the backend server, so it alone enforces the capacity limit. By raising the
// fencing token it can establish that an unanswered start order was not executed. Deterministic and without
// I/O.
class agent_core {
public:
    agent_core(incarnation self, std::string zone, const agent_limits& limits, time_point now);

    // A backend server announced its profile. Ignores announcements that are delayed or repeated. Another
    // backend server or lifetime than the present one is taken up when it has answered an order.
    // Returns false if the announcement must not be acknowledged: the agent cannot promise that a backend
    // server that shuts down gets no new work before it has taken it up.
    bool announced(const backend_announcement& announcement, time_point now);
    // The backend server announced that it shuts down.
    void left(const std::string& backend_id, time_point now);
    void replied(const backend_reply& reply, time_point now);

    // address: the peer address of the entry, or empty if it is not known. Such a link is never released.
    void link_opened(link_number link, time_point now, const std::string& address = {});
    void link_closed(link_number link, time_point now);
    void received(link_number link, const work_message& message, time_point now);

    // Refuses new runs and queued runs. Runs that have started may finish.
    void begin_shutdown(time_point now);
    // True after begin_shutdown when no run is active and no end is waiting to be recorded.
    bool is_drained() const;

    void tick(time_point now);
    // Latest time at which tick must be called next.
    time_point next_wakeup(time_point now) const;

    // Returns the output of all events since the last call.
    agent_output take_output(time_point now);

    // Peer addresses of all entries that the connected entries have reported.
    std::set<std::string> entry_addresses() const;
    // Of these addresses, the ones that the agent connects to: those of the entries that it serves, and of
    // entries that have requested a connection.
    std::set<std::string> served_addresses() const;
    // Returns true if served_addresses may have changed since the last call.
    bool take_address_change() { return std::exchange(has_new_addresses_, false); }
    const std::string& backend_id() const { return backend_.id; }
    std::uint64_t backend_life() const { return backend_.life; }
    std::uint64_t fencing_token() const { return fencing_token_; }
    std::size_t connected_entries() const { return links_.size(); }
    std::size_t active_runs() const { return runs_.active_count(); }
    std::size_t queued_runs() const { return queue_.size(); }

private:
    struct link_state {
        // The names are empty until the entry has sent its entry_welcome.
        incarnation process;
        incarnation session;
        std::vector<std::string> entry_addresses;
        // Peer address of the entry; empty if it is not known.
        std::string address;
        // Since when the entry is no longer served.
        std::optional<time_point> released_at;
        std::uint64_t received_starts = 0;
        // The free capacity last reported to this entry, and when it was sent.
        agent_free_capacity sent_capacity;
        time_point capacity_sent_at{};
        early_report early;
        std::vector<run_report> reports;
        // At least one report must be sent at once instead of with the next message about free capacity.
        bool has_urgent_report = false;
        // The agent's latest clock reading that the entry has echoed, and when the last ping was sent.
        time_point last_echoed{};
        time_point last_ping{};
    };

    struct owner_state {
        // 0 while the owner is not connected.
        link_number link = 0;
        // Latest time at which the owner is known to have been present.
        time_point last_contact{};
    };

    struct sent_order {
        backend_order order;
        time_point sent{};
    };

    // Messages of entries.
    void receive(link_number link, const entry_welcome& welcome, time_point now);
    void receive(link_number link, const owner_pong& pong, time_point now);
    void receive(link_number link, const run_start_request& message, time_point now);
    void receive(link_number link, const run_stop_request& message, time_point now);
    void receive(link_number link, const recorded_run_ends& message, time_point now);
    void receive(link_number link, const owner_succession& message, time_point now);
    void receive(link_number link, const run_claim& message, time_point now);
    void receive(link_number link, const connection_request& message, time_point now);
    template <typename Other> void receive(link_number, const Other&, time_point) {}

    // Answers of the backend server.
    void observe_clock(const backend_reply& reply, time_point now);
    void process_start_reply(const sent_order& sent, const backend_reply& reply, time_point now);
    void process_former_start_reply(const sent_order& sent, const backend_reply& reply, time_point now);
    void process_stop_reply(const sent_order& sent, const backend_reply& reply, time_point now);
    void process_hold_reply(const sent_order& sent, const backend_reply& reply, bool is_raise,
                            time_point now);
    void process_lists(const sent_order& hold, const backend_reply& reply, time_point now);
    // Ends the run of a listed end, also if this agent did not know the run.
    void process_listed_end(const listed_end& end, time_point now);
    void process_listed_run(const listed_run& listed, std::int64_t clock_ms, time_point now);
    bool is_stalled(const run_record& record, const listed_run& listed, std::int64_t clock_ms) const;
    void resolve_unanswered_starts(const sent_order& hold, const std::set<run_ref>& listed, time_point now);
    void end_missing_runs(const sent_order& hold, const std::set<run_ref>& listed, time_point now);

    // Orders to the backend server.
    std::uint64_t send_order(std::variant<start_order, stop_order, hold_order> action, milliseconds timeout,
                             time_point now);
    std::uint64_t send_order(std::variant<start_order, stop_order, hold_order> action, milliseconds timeout,
                             time_point now, const std::string& backend_id);
    bool has_unclaimed_runs() const;
    void start_queued(time_point now);
    void start_by_arrival(time_point now);
    void start_by_urgency(time_point now);
    bool may_start(const run_record& record, time_point now);
    // The runs that use capacity of the present backend server, for predictions.
    std::vector<active_run> active_runs(time_point now) const;
    start_plan plan_queue(std::size_t max_starts, time_point now);
    bool is_queue_planned() const;
    void observe_departure(const backend_announcement& announcement, time_point now);
    // Time until the backend server leaves; not set if that is not known.
    std::optional<milliseconds> time_until_departure(time_point now) const;
    void stop_runs_cut_off(time_point now);
    // Whether a run of the usual size fits, and the queue is not waiting for that capacity.
    bool has_room(time_point now) const;
    void send_start_order(run_record& record, time_point now);
    void send_stop_order(run_record& record, time_point now);
    void send_hold_order(time_point now);
    void raise_token(time_point now);
    bool should_renew_lease(time_point now) const;
    milliseconds lease_to_request(time_point now);
    bool may_be_presumed_lost(const run_record& record, time_point now) const;
    void update_lease_expiry(time_point now);
    bool needs_hold() const;
    std::uint64_t end_to_acknowledge(time_point now) const;
    bool is_hold_due(time_point now) const;

    // Which backend server is at the agent's address.
    void apply_announcement(const backend_announcement& announcement, time_point now);
    void consider_candidate(const backend_announcement& announcement, time_point now);
    void check_candidate(time_point now);
    void process_candidate_reply(const backend_reply& reply, time_point now);
    void reject_candidate();
    void begin_backend_life(const std::string& id, std::uint64_t life, time_point now);
    void forget_ended_backend(time_point now);
    void detach_backend(time_point now);
    void end_expired_detached_runs(time_point now);
    void complete_synchronization(time_point now);
    bool may_publish_inventories(time_point now) const;
    bool may_publish_durable_inventories(time_point now) const;
    void publish_inventories(time_point now);
    void offer_orphans(time_point now);
    void send_inventories(link_number link, time_point now);
    void end_run(run_record& record, run_state state, run_refusal reason, time_point now);
    void request_stop(run_record& record, run_refusal reason, time_point now);
    void report_refusal(const run_ref& run, link_number link, run_refusal reason);
    bool may_stop(link_number link, const run_record& record) const;
    void refuse_queued(run_refusal reason, time_point now);
    std::optional<run_refusal> refusal_reason() const;
    bool is_owner_present(const incarnation& owner, bool is_durable, time_point now) const;
    time_point claim_deadline(const run_record& record) const;
    void check_owner_contact(time_point now);
    void check_timeouts(time_point now);

    // Entries that are no longer served.
    void mark_addresses_changed();
    void update_released_links(time_point now);
    void close_released_links(time_point now);
    void forget_connection_requests(time_point now);
    bool has_runs_of(const link_state& link);
    bool is_checking_store(link_number link) const;

    // Messages to entries.
    run_report make_report(const run_record& record, time_point now) const;
    void report(const run_record& record, time_point now);
    void add_report(link_state& state, run_report report);
    void record_pong(link_number link, const owner_pong& pong);
    void ping(link_number link, time_point now);
    bool is_ping_due(const link_state& state, time_point now) const;
    void send_inventory(link_number link, const incarnation& owner, time_point now);
    void send_profile_if_changed(time_point now);
    void send_profile(link_number link, const link_state& state, time_point now);
    agent_profile profile(time_point now) const;
    resources free_capacity(time_point now) const;
    agent_free_capacity free_capacity_for(const link_state& link, time_point now) const;
    void record_outcome(const run_record& record, time_point now);
    void flush_reports(time_point now);
    bool has_unsent_updates(const link_state& link, time_point now) const;
    time_point next_update(const link_state& link, time_point now) const;
    time_point next_regular_update(const link_state& link) const;
    void send_reports(link_number link, link_state& state, time_point now);
    bool is_zone_out() const;

    void record_decision(std::string_view what, const job_id& job,
                         std::vector<std::pair<std::string_view, decision::value>> inputs,
                         bool is_warning = false);

    incarnation self_;
    std::string zone_;
    agent_limits limits_;
    agent_output output_;

    // The backend server. The id is empty while none is known.
    backend_profile backend_;
    // The backend server has announced its capacity in this lifetime.
    bool has_profile_ = false;
    std::uint64_t last_sequence_ = 0;
    // It has announced its end, and no announcement has come after that.
    bool has_signed_off_ = false;
    // When the draining backend server leaves, according to its announcement.
    std::optional<time_point> leaves_at_;
    // The latest announcement by another backend server or life, until it has answered an order.
    std::optional<backend_announcement> candidate_;
    time_point candidate_expires_at_{};
    time_point next_candidate_check_{};
    // Id of the order to the candidate; 0 if none is in flight.
    std::uint64_t candidate_order_id_ = 0;
    backend_clock backend_clock_;
    backend_health backend_health_;
    std::uint64_t fencing_token_ = 0;
    // All orders with older tokens are fenced and the lists were read since, so every started run is known.
    bool is_synchronized_ = false;
    // Several hold orders in a row failed, so the lease is no longer renewed and new runs are refused.
    bool is_unresponsive_ = false;
    // The lease is not renewed until it has expired, because of durable runs whose owner is away.
    bool is_lease_expiring_ = false;
    // The inventories were sent, so owners may conclude that a run that is not listed does not exist.
    bool are_inventories_published_ = false;
    // The same for the runs of durable jobs.
    bool are_durable_inventories_published_ = false;
    bool is_shutting_down_ = false;
    end_acknowledger end_acknowledger_;
    // Send time of the latest order that the backend server answered in this lifetime.
    time_point last_reply_{};
    // Highest end number whose acknowledgement the backend server has confirmed.
    std::uint64_t confirmed_end_ = 0;
    // Runs that this agent reported as ended before the backend server listed their end.
    std::set<run_ref> abandoned_runs_;
    // Time by which all leases that an earlier process of this agent requested have expired.
    time_point former_leases_expired_at_{};
    // Time by which all leases that were requested so far have expired.
    time_point all_leases_expired_at_{};

    run_table runs_;
    // When the first lease of a run at a former backend server expires.
    time_point next_detached_expiry_ = time_point::max();
    std::deque<run_ref> queue_;
    // Number of runs that were accepted since the process started.
    std::uint64_t accepted_runs_ = 0;
    typical_needs typical_needs_;
    std::size_t starts_in_flight_ = 0;

    std::uint64_t last_order_id_ = 0;
    // Orders up to this id were sent before the present backend server was taken up.
    std::uint64_t last_former_order_id_ = 0;
    std::map<std::uint64_t, sent_order> orders_in_flight_;
    // Ids of the regular hold order and of the one that raises the token; 0 if none is in flight.
    std::uint64_t hold_order_id_ = 0;
    std::uint64_t raise_order_id_ = 0;
    time_point next_hold_{};
    time_point next_raise_{};
    bool is_raise_needed_ = false;
    // Id of the last order that was sent before the newest list was read.
    std::uint64_t last_order_before_list_ = 0;
    // Highest end number that was listed.
    std::uint64_t last_listed_end_ = 0;
    // Number of consecutive hold orders whose verdict was neither accepted nor fenced.
    unsigned unanswered_holds_ = 0;
    // Round-trip time of orders that the backend server answers without a wait.
    round_trip_estimate order_round_trip_;

    std::map<link_number, link_state> links_;
    bool has_new_addresses_ = true;
    bool is_release_update_needed_ = false;
    // Entries that have requested a connection.
    extra_entries extra_entries_{limits_.connection_request_duration, limits_.max_extra_entries};
    std::map<incarnation, owner_state> owners_;
    // Successors of the deposed owners.
    std::map<incarnation, incarnation> deposed_owners_;
    // Availability zones that are out of service, and the version of this set.
    std::set<std::string> zones_out_;
    std::uint64_t zones_version_ = 0;
    time_point last_orphan_offer_{};
    // When inventories were last sent because an entry had connected or they could be published.
    std::optional<time_point> entry_introduced_at_;
    agent_profile sent_profile_;
    // leaves_at_ when sent_profile_ was sent.
    std::optional<time_point> sent_departure_;
};

} // namespace persimmonstile
