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
class session_keeper {
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
        bool may_live = false;
        std::vector<store_item> jobs;
    };

    // next_number is called for each new session and returns its number.
    session_keeper(entry_record self, std::function<std::uint64_t()> next_number, std::uint64_t seed);

    // Sets the sessions that are connected to this process. They are not adopted.
    void set_connected(std::set<incarnation> sessions) { connected_ = std::move(sessions); }

    void replied(std::uint64_t id, const store_reply& reply, time_point now);
    // A write failed because this session is deposed. Begins a new session.
    void deposed(time_point now);
    // Ends the session. If there are no open jobs, the entry's record is removed. Otherwise the
    // record is marked as leaving, so that the other entries adopt the jobs without the usual grace periods.
    void leave(bool finished, time_point now);
    bool has_left() const { return phase_ == phase::left; }

    // Sets the agents that must be recorded in the store. Those without a record get one.
    void need_agents(const std::vector<agent_record>& agents, time_point now);
    // True while this session still adopts, or reads the jobs of, a session with a smaller adoption depth.
    bool is_adopting_below(std::uint32_t succession_count) const;
    // All jobs of the adopted session have ended. Removes the record of the adoption.
    void adoption_done(const incarnation& former, time_point now);

    // Returns the store calls to make now.
    std::vector<call> take_calls(time_point now);
    std::vector<adopted_jobs> take_adopted() { return std::exchange(adopted_, {}); }
    std::vector<decision> take_decisions() { return std::exchange(decisions_, {}); }
    time_point next_wakeup(time_point now) const;

    // The current session; its name is empty while there is none.
    const incarnation& session() const { return session_; }
    std::uint64_t entry_revision() const { return entry_revision_; }
    const member_directory& members() const { return members_; }
    // Time of the store's last reply of any kind. A store_failure does not count as a reply.
    time_point last_contact() const { return last_contact_; }

private:
    enum class phase : std::uint8_t { listing, claiming, active, leaving, left };
    enum class purpose : std::uint8_t {
        list,
        claim,
        watch,
        open_lease,
        renew_lease,
        write_liveness_key,
        adopt,
        jobs,
        agents,
        forget,
        leave
    };

    struct sent_call {
        purpose why = purpose::list;
        time_point sent{};
        // The adopted session, for an adoption or a listing of its jobs.
        incarnation former;
    };

    struct pending_adoption {
        adopted_jobs result;
        std::string after_key;
        bool is_listing = false;
    };

    std::uint64_t send(purpose why, store_call what, milliseconds timeout, time_point now,
                       const incarnation& former = {});
    bool is_waiting_for(purpose why) const;
    milliseconds timeout() const { return round_trip_.timeout(); }
    void failed(const sent_call& call, const store_failure& failure, time_point now);

    void list(time_point now);
    void listed(const item_listing& page, time_point now);
    void claim(time_point now);
    void claimed(const store_reply& reply, time_point now);
    void begin(std::uint64_t revision, time_point now);
    void watch(time_point now);
    void watched(const store_reply& reply, time_point now);
    void keep_alive(time_point now);
    void write_liveness_key(time_point now);
    void adopt_expired_sessions(time_point now);
    void adopt(const incarnation& former, bool may_live, time_point now);
    void adoption_replied(const incarnation& former, const store_reply& reply, time_point now);
    void list_jobs(const incarnation& former, time_point now);
    void jobs_listed(const incarnation& former, const store_reply& reply, time_point now);
    void record_agents(time_point now);
    void restart(time_point now);
    void note(std::string_view what, std::vector<std::pair<std::string_view, decision::value>> inputs,
              bool is_warning = false);

    entry_record self_;
    std::function<std::uint64_t()> next_number_;
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

    std::uint64_t lease_ = 0;
    bool is_liveness_key_written_ = false;
    time_point next_renewal_{};

    std::set<incarnation> connected_;
    std::map<incarnation, pending_adoption> pending_;
    std::vector<adopted_jobs> adopted_;
    std::map<std::string, agent_record> needed_agents_;
    std::vector<agent_record> recording_;
    // Adopted sessions whose jobs have been read.
    std::set<incarnation> loaded_;

    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, sent_call> sent_;
    std::vector<call> calls_;
    std::vector<decision> decisions_;
    round_trip_estimate round_trip_;
    time_point last_contact_{};
    // Time since which the store has replied without failure.
    time_point answering_since_{};
    std::optional<time_point> failing_since_;
    time_point not_before_{};
    bool is_leave_wanted_ = false;
    bool leaves_finished_ = false;
};

} // namespace persimmonstile
