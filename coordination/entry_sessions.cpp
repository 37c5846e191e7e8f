#include "coordination/entry_core.h"
#include "coordination/store_keys.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// Size of the range of run numbers that one owner of a job may use. The range of its successor follows.
constexpr run_number runs_per_owner = 1'000'000;

} // namespace

// Handles the changes that session_manager reports: a session was begun or lost, other entries have joined
// or left, jobs were adopted.
void entry_core::update_sessions(time_point now) {
    std::set<incarnation> connected;
    for (const auto& [link, peer] : peers_)
        connected.insert(peer.session);
    session_manager_.set_connected(std::move(connected));
    if (known_session_ != session()) {
        if (!known_session_.name.empty())
            process_session_loss(now);
        known_session_ = session();
        if (!known_session_.name.empty())
            commits_.set_session(session(), session_manager_.entry_revision());
        for (const auto& [link, peer] : peers_)
            output_.messages.emplace_back(link, peer_hello{name_, session(), limits_.borrows_agents});
        send_welcome_to_all();
    }
    if (members().version() != sent_members_version_ &&
        now - addresses_sent_at_ >= limits_.address_update_interval) {
        sent_members_version_ = members().version();
        addresses_sent_at_ = now;
        if (entry_addresses() != sent_addresses_)
            send_welcome_to_all();
    }
    take_adopted(now);
    update_counted_sessions();
    request_agent_connections(now);
    settle_successions(now);
    for (decision& made : session_manager_.take_decisions())
        output_.decisions.push_back(std::move(made));
}

void entry_core::process_session_loss(time_point now) {
    record_decision("session was lost; its jobs belong to a successor", {},
                    {{"jobs", static_cast<std::int64_t>(ledger_.jobs().size())}}, true);
    std::vector<job_id> durable_jobs;
    for (const auto& [id, job] : ledger_.jobs()) {
        if (job.is_durable())
            durable_jobs.push_back(id);
    }
    // They stay accepted, and the successor has not told yet that it counts them.
    pending_counts_.told(known_session_, own_counts(), adopted_sessions());
    commits_.clear_session();
    locator_.abandon_withdrawals(now);
    successions_.clear();
    acknowledgements_.clear();
    for (const job_id& id : durable_jobs) {
        for (waiting_callers* waiting : {&acceptance_waiters_, &end_waiters_}) {
            for (const waiting_caller& caller : waiting->take(id))
                reply(caller.token, caller_reply_kind::uncertain);
        }
        ledger_.erase(id);
    }
    for (auto& [number, agent] : agents_.all()) {
        std::erase_if(agent.runs,
                      [&](const auto& run) { return ledger_.find(run.first.task.job) == nullptr; });
        agent.is_session_introduced = false;
        agent.missing_since.reset();
    }
}

void entry_core::take_adopted(time_point now) {
    for (session_manager::adopted_jobs& adopted : session_manager_.take_adopted()) {
        const incarnation& former = adopted.record.former;
        const std::string prefix = open_job_prefix(former);
        adoption_progress& state = successions_[former];
        state.record = adopted.record;
        for (const auto& [name, agent] : members().agents())
            state.unanswered_agents.insert(name);
        state.runs_ended_by = now + durable_owner_absence + limits_.run_lease_bound() +
                              (adopted.may_be_running ? limits_.store_contact_timeout : milliseconds{0});
        for (const store_item& item : adopted.jobs) {
            const auto* record = std::get_if<open_job>(&item.value);
            const job_id id = item.key.substr(prefix.size());
            const ledger_job* known = ledger_.find(id);
            if (record == nullptr || (known != nullptr && known->phase != job_phase::accepting))
                continue;
            // If the job is being accepted here, its caller has resubmitted it. The store will reject that
            // acceptance, because the job is stored already. The adopted job replaces it.
            const bool is_cancelled = known != nullptr && known->is_cancellation_pending;
            ledger_.erase(id);
            ledger_job& job = ledger_.add(id, std::make_shared<open_job>(*record), former,
                                          adopted.record.succession_count * runs_per_owner, now);
            job.phase = job_phase::open;
            job.revision = item.revision;
            job.is_settled = false;
            // The job's time before the adoption counts as waiting time of its caller.
            const milliseconds age{
                std::clamp<std::int64_t>(unix_time_ms(wall_) - record->accepted_ms, 0, 600000)};
            job.accepted = now - age;
            record_decision("adopted a job", id,
                            {{"former", former.name},
                             {"age_ms", age.count()},
                             {"progress", static_cast<std::int64_t>(record->progress.size())},
                             {"occurrences_left", job.occurrences_left}});
            if (job.occurrences_left == 0)
                end_job(job, job_state::completed, now);
            else if (is_cancelled)
                end_cancelled_job(job, now);
        }
        for (const auto& [number, agent] : agents_.all()) {
            if (agent.link != 0)
                output_.messages.emplace_back(agent.link, owner_succession{former, session()});
        }
    }
}

void entry_core::record_succession_answer(const std::string& agent, const incarnation& former) {
    const auto found = successions_.find(former);
    if (found != successions_.end())
        found->second.unanswered_agents.erase(agent);
}

// The other entries pass the request on to their agents. An agent that this entry does not know yet may have
// runs of adopted jobs, or ends of them that only this entry can record.
void entry_core::request_agent_connections(time_point now) {
    const bool has_adopted_jobs =
        std::any_of(ledger_.jobs().begin(), ledger_.jobs().end(),
                    [&](const auto& entry) { return successions_.contains(entry.second.record_session); });
    if (!has_adopted_jobs || now - connections_requested_at_ < limits_.connection_request_interval)
        return;
    const bool is_every_agent_connected =
        std::all_of(members().agents().begin(), members().agents().end(), [&](const auto& member) {
            const agent_view* agent = agents_.find_by_name(member.first);
            return agent != nullptr && agent->link != 0;
        });
    if (is_every_agent_connected)
        return;
    connections_requested_at_ = now;
    record_decision("asking all agents to connect", {},
                    {{"entries", static_cast<std::int64_t>(peers_.size())}});
    for (const auto& [link, peer] : peers_)
        output_.messages.emplace_back(link, connection_request{peer_address_});
}

void entry_core::receive(link_number link, const connection_request& message, time_point) {
    if (!peers_.contains(link))
        return;
    for (const auto& [number, agent] : agents_.all()) {
        if (agent.link != 0)
            output_.messages.emplace_back(agent.link, message);
    }
}

// A session that adopted these jobs and is now adopted itself may have started runs of them. Its adoption has
// a smaller succession_count and must be settled before this one. All of them are adopted together.
bool entry_core::can_settle(const adoption_progress& state, time_point now) const {
    const bool is_waiting = std::any_of(successions_.begin(), successions_.end(), [&](const auto& other) {
        return !other.second.is_settled &&
               other.second.record.succession_count < state.record.succession_count;
    });
    return !is_waiting && !session_manager_.is_adopting_below(state.record.succession_count) &&
           (state.unanswered_agents.empty() || now >= state.runs_ended_by);
}

void entry_core::settle_successions(time_point now) {
    for (auto it = successions_.begin(); it != successions_.end();) {
        adoption_progress& state = it->second;
        if (!state.is_settled && can_settle(state, now)) {
            state.is_settled = true;
            // Other adoptions may wait for this one.
            is_session_update_needed_ = true;
            record_decision("runs of a former session are settled", {},
                            {{"former", session_text(it->first)},
                             {"unanswered", static_cast<std::int64_t>(state.unanswered_agents.size())}});
            for (auto& [id, job] : ledger_.jobs()) {
                if (job.record_session == it->first)
                    job.is_settled = true;
            }
            is_plan_needed_ = true;
        }
        const bool has_jobs =
            std::any_of(ledger_.jobs().begin(), ledger_.jobs().end(),
                        [&](const auto& entry) { return entry.second.record_session == it->first; });
        if (state.is_settled && !has_jobs) {
            session_manager_.end_adoption(it->first, now);
            if (!members().adoptions().contains(it->first)) {
                it = successions_.erase(it);
                continue;
            }
        }
        ++it;
    }
}

} // namespace persimmonstile
