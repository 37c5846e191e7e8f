#pragma once

#include "coordination/decision.h"
#include "coordination/member_directory.h"
#include "coordination/round_trip_estimate.h"
#include "state/incarnation.h"
#include "state/store_call.h"
#include "state/store_reply.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// Maintains an entry's session. It writes the entry's record to the store, keeps the liveness key under a
// lease, watches the members and adopts the jobs of sessions that have ended. Deterministic and without I/O.
class session_manager {
public:
    struct call {
        std::uint64_t id = 0;
        store_call what;
        milliseconds timeout{0};
    };

    // A former session whose open jobs now belong to this session, with the records of these jobs.
    struct adopted_jobs {
        session_adoption record;
        // The former session's process may still be running. It acts until it learns that it is deposed.
        bool may_be_running = false;
        std::vector<store_item> jobs;
    };

    // next_session_number is called for each new session and returns its number.
    session_manager(entry_record self, std::function<std::uint64_t()> next_session_number,
                    std::uint64_t seed);

    // Sets the sessions that are connected to this process. They are not adopted.
    void set_connected(std::set<incarnation> sessions) { connected_sessions_ = std::move(sessions); }

    void replied(std::uint64_t id, const store_reply& reply, time_point now);
    // Must be called if a write failed because this session is deposed. Also called if the watch shows that
    // the entry's record names another session or is missing. Begins a new session.
    void deposed(time_point now);
    // Adopts no further sessions. Used during a shutdown, because the adopted jobs would have to be handed
    // over again at once.
    void stop_adopting() { is_adopting_ = false; }
    // Ends the session. If there are no open jobs and no adoption by this session may be stored, the entry's
    // record is removed. Otherwise it is marked as leaving, so that the other entries adopt the jobs without
    // the usual grace periods.
    void leave(bool has_no_open_jobs, time_point now);
    bool has_left() const { return phase_ == phase::left; }

    // Sets the agents that must be recorded in the store. Those without a record get one.
    void set_needed_agents(const std::vector<agent_record>& agents, time_point now);
    // Asks the store whether this session still owns its jobs. confirmed_at changes if so.
    void request_confirmation() { is_confirmation_requested_ = true; }
    // The session had not been deposed at this time, nor before. The store has confirmed it later.
    time_point confirmed_at() const { return confirmed_at_; }
    // True while this session still adopts, or reads the jobs of, a session with a smaller
    // succession_count.
    bool is_adopting_below(std::uint32_t succession_count) const;
    // All jobs of the adopted session have ended. Removes the record of the adoption.
    void end_adoption(const incarnation& former, time_point now);

    // Returns the store calls to make now.
    std::vector<call> take_calls(time_point now);
    std::vector<adopted_jobs> take_adopted() { return std::exchange(completed_adoptions_, {}); }
    std::vector<decision> take_decisions() { return std::exchange(decisions_, {}); }
    time_point next_wakeup(time_point now) const;

    // The current session; its name is empty while there is none.
    const incarnation& session() const { return session_; }
    std::uint64_t entry_revision() const { return entry_revision_; }
    const member_directory& members() const { return members_; }
    // When the latest call was sent that the store has replied to. A store_failure does not count as a reply.
    time_point last_contact() const { return last_contact_; }

private:
    enum class phase : std::uint8_t { listing, claiming, active, leaving, left };
    enum class purpose : std::uint8_t {
        list_members,
        claim_session,
        watch_members,
        open_lease,
        renew_lease,
        write_liveness_key,
        adopt_session,
        inherit_adoptions,
        jobs,
        agents,
        remove_adoption,
        confirm,
        leave
    };

    struct sent_call {
        purpose call_purpose = purpose::list_members;
        time_point sent{};
        // The adopted session, for an adoption or a listing of its jobs.
        incarnation former;
    };

    struct pending_adoption {
        adopted_jobs result;
        std::string after_key;
        bool is_listing = false;
    };

    std::uint64_t send(purpose call_purpose, store_call what, milliseconds timeout, time_point now,
                       const incarnation& former = {});
    bool is_waiting_for(purpose call_purpose) const;
    milliseconds timeout() const { return round_trip_.timeout(); }
    void process_failure(const sent_call& call, const store_failure& failure, time_point now);

    void list_members(time_point now);
    void process_page(const item_listing& page, time_point now);
    void claim_session(time_point now);
    void process_claim_reply(const store_reply& reply, time_point now);
    void begin(std::uint64_t revision, time_point now);
    void watch_members(time_point now);
    void process_watch_reply(const store_reply& reply, time_point now);
    void keep_alive(time_point now);
    void write_liveness_key(time_point now);
    void adopt_expired_sessions(time_point now);
    void inherit_adoptions(time_point now);
    void adopt_lost_successors(time_point now, milliseconds delay);
    bool may_adopt(const incarnation& session) const;
    bool is_expired(const incarnation& session, time_point now, milliseconds delay) const;
    bool is_successor_of_another(const incarnation& session) const;
    void adopt_session(const incarnation& former, bool may_be_running, time_point now);
    void process_adoption_reply(const incarnation& former, const store_reply& reply, time_point now);
    void list_jobs(const incarnation& former, time_point now);
    void process_job_page(const incarnation& former, const store_reply& reply, time_point now);
    void record_agents(time_point now);
    void confirm_ownership(time_point now);
    void process_confirmation(const store_reply& reply, time_point sent, time_point now);
    void reset_session(time_point now);
    void record_decision(std::string_view what,
                         std::vector<std::pair<std::string_view, decision::value>> inputs,
                         bool is_warning = false);

    entry_record self_;
    std::function<std::uint64_t()> next_session_number_;
    std::uint64_t rank_;
    phase phase_ = phase::listing;
    incarnation session_;
    std::uint64_t entry_revision_ = 0;
    // The session that is being claimed, and the adoptions that are written with the claim.
    incarnation candidate_;
    std::vector<session_adoption> candidate_adoptions_;

    member_directory members_;
    std::vector<store_item> listing_;
    std::uint64_t listing_revision_ = 0;
    std::string listing_after_;
    std::uint64_t watch_revision_ = 0;
    bool is_view_current_ = false;
    bool is_confirmation_requested_ = false;
    time_point confirmed_at_{};

    std::uint64_t lease_ = 0;
    bool is_liveness_key_written_ = false;
    time_point next_renewal_{};

    std::set<incarnation> connected_sessions_;
    std::map<incarnation, pending_adoption> pending_adoptions_;
    std::vector<adopted_jobs> completed_adoptions_;
    std::map<std::string, agent_record> needed_agents_;
    std::vector<agent_record> agents_in_write_;
    // Adopted sessions whose jobs have been read.
    std::set<incarnation> loaded_sessions_;
    // Sessions for which the store may have a record that names this session as successor. Includes adoptions
    // whose write got no answer, because it may still take effect.
    std::set<incarnation> stored_adoptions_;

    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, sent_call> calls_in_flight_;
    std::vector<call> queued_calls_;
    std::vector<decision> decisions_;
    round_trip_estimate round_trip_;
    time_point last_contact_{};
    // Time since which the store has replied without failure.
    time_point store_available_since_{};
    std::optional<time_point> store_failing_since_;
    time_point backoff_until_{};
    bool is_adopting_ = true;
    bool has_no_open_jobs_ = false;
};

} // namespace persimmonstile
