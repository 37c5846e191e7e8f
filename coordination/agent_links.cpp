#include "coordination/agent_core.h"
#include "coordination/entry_subset.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

void agent_core::mark_addresses_changed() {
    has_new_addresses_ = true;
    is_release_update_needed_ = true;
}

std::set<std::string> agent_core::entry_addresses() const {
    std::set<std::string> result;
    for (const auto& [link, state] : links_)
        result.insert(state.entry_addresses.begin(), state.entry_addresses.end());
    return result;
}

std::set<std::string> agent_core::served_addresses() const {
    std::set<std::string> result = choose_entries(self_.name, entry_addresses(), limits_.max_entries);
    extra_entries_.insert_into(result);
    return result;
}

void agent_core::link_opened(link_number link, time_point now, const std::string& address) {
    mark_addresses_changed();
    links_[link] = {};
    links_[link].address = address;
    output_.messages.emplace_back(link, profile(now));
    // The entry sends its pong before its first start message, so the owner then counts as present.
    ping(link, now);
}

void agent_core::ping(link_number link, time_point now) {
    links_[link].last_ping = now;
    output_.messages.emplace_back(link, view_ping{now.time_since_epoch().count()});
}

// Tells entries that are no longer served to send no more runs, and entries that are served again that they
// may. An entry that no other entry reports may have lost its session. It still accepts jobs, so its link is
// kept.
void agent_core::update_released_links(time_point now) {
    is_release_update_needed_ = false;
    const std::set<std::string> known = entry_addresses();
    const std::set<std::string> served = served_addresses();
    for (auto& [link, state] : links_) {
        const bool is_served = served.contains(state.address) || !known.contains(state.address);
        if (is_served != state.released_at.has_value())
            continue;
        if (is_served)
            state.released_at.reset();
        else
            state.released_at = now;
        record_decision(is_served ? "entry is served again" : "entry is no longer served", {},
                        {{"entry", state.address}});
        send_profile(link, state, now);
    }
}

void agent_core::close_released_links(time_point now) {
    for (const auto& [link, state] : links_) {
        if (state.released_at && now >= *state.released_at + limits_.release_delay && !has_runs_of(state))
            output_.links_to_close.push_back(link);
    }
}

// Whether the agent knows runs of the entry, including ended ones that the entry has not recorded yet.
bool agent_core::has_runs_of(const link_state& link) {
    bool has_runs = false;
    runs_.for_each([&](const run_record& record) {
        has_runs = has_runs || (!record.owner.name.empty() &&
                                (record.owner == link.process || record.owner == link.session));
    });
    return has_runs;
}

void agent_core::receive(link_number, const connection_request& message, time_point now) {
    if (!message.is_for_capacity) {
        if (extra_entries_.add_for_adoption(message.entry_address, now))
            mark_addresses_changed();
        return;
    }
    // The sender may know other entries than this agent. An entry that is served anyway takes no place.
    if (served_addresses().contains(message.entry_address) ||
        !extra_entries_.add_for_capacity(message.entry_address, now))
        return;
    record_decision("serving an entry that needs capacity", {}, {{"entry", message.entry_address}});
    mark_addresses_changed();
}

void agent_core::forget_connection_requests(time_point now) {
    if (extra_entries_.remove_expired(now))
        mark_addresses_changed();
}

// Of the connected entries, the first by name queries the store for runs without a known owner.
bool agent_core::is_checking_store(link_number link) const {
    const std::string& name = links_.at(link).process.name;
    return std::all_of(links_.begin(), links_.end(), [&](const auto& other) {
        return other.second.process.name.empty() || name <= other.second.process.name;
    });
}

// Busy entries echo the clock readings of other messages, so only idle entries need pings.
bool agent_core::is_ping_due(const link_state& state, time_point now) const {
    return now - std::max(state.last_echoed, state.last_ping) >= limits_.ping_interval;
}

void agent_core::link_closed(link_number link, time_point) {
    mark_addresses_changed();
    links_.erase(link);
    for (auto& [owner, state] : owners_) {
        if (state.link == link)
            state.link = 0;
    }
}

void agent_core::received(link_number link, const work_message& message, time_point now) {
    if (!links_.contains(link))
        return;
    std::visit([&](const auto& item) { receive(link, item, now); }, message);
}

void agent_core::receive(link_number link, const entry_welcome& welcome, time_point now) {
    links_[link].entry_addresses = welcome.entry_addresses;
    mark_addresses_changed();
    if (welcome.zones_version >= zones_version_) {
        zones_version_ = welcome.zones_version;
        const bool was_out = is_zone_out();
        zones_out_ = {welcome.zones_out.begin(), welcome.zones_out.end()};
        if (!was_out && is_zone_out()) {
            record_decision("availability zone is out of service", {}, {{"zone", zone_}});
            refuse_queued(run_refusal::zone_out, now);
        }
    }
    link_state& state = links_[link];
    const bool is_known =
        welcome.process == state.process && (welcome.session.number == 0 || welcome.session == state.session);
    if (is_known)
        return;
    state.process = welcome.process;
    owners_[welcome.process].link = link;
    if (welcome.session.number != 0) {
        state.session = welcome.session;
        owners_[welcome.session].link = link;
    }
    // The session counts as present only after its first pong.
    ping(link, now);
    if (are_inventories_published_)
        send_inventories(link, now);
}

void agent_core::receive(link_number link, const owner_pong& pong, time_point) {
    record_pong(link, pong);
}

void agent_core::record_pong(link_number link, const owner_pong& pong) {
    if (pong.sent_ns == 0)
        return;
    link_state& state = links_[link];
    const time_point sent{std::chrono::nanoseconds{pong.sent_ns}};
    state.last_echoed = std::max(state.last_echoed, sent);
    const auto record_pong = [&](const incarnation& owner) {
        if (owner.name.empty())
            return;
        owners_[owner].last_contact = std::max(owners_[owner].last_contact, sent);
    };
    record_pong(state.process);
    if (pong.is_session_certain)
        record_pong(state.session);
}

void agent_core::receive(link_number link, const run_start_request& message, time_point now) {
    ++links_[link].received_starts;
    record_pong(link, message.pong);
    std::optional<run_refusal> refusal = refusal_reason();
    if (deposed_owners_.contains(message.owner))
        refusal = run_refusal::owner_deposed;
    else if (!is_owner_present(message.owner, message.is_durable, now))
        refusal = run_refusal::owner_silent;
    const auto payload = std::make_shared<const std::string>(message.payload);
    for (const run_spec& start : message.runs) {
        const run_ref run{{message.job, start.occurrence, start.step, start.index}, start.run};
        if (const run_record* known = runs_.find(run)) {
            report(*known, now);
            continue;
        }
        if (refusal) {
            report_refusal(run, link, *refusal);
            continue;
        }
        run_record record;
        record.run = run;
        record.owner = message.owner;
        record.is_durable = message.is_durable;
        if (message.remaining_ms > 0)
            record.expires_at = now + message.remaining();
        record.needs = start.needs;
        record.payload = payload;
        record.checkpoint = start.checkpoint;
        record.expected = start.expected();
        record.priority = start.priority;
        if (start.start_within_ms > 0)
            record.latest_start = now + start.start_within();
        else if (start.start_within_ms == 0)
            record.latest_start = now + limits_.queue_timeout;
        record.accepted = now;
        ++accepted_runs_;
        typical_needs_.add(record.needs);
        runs_.add(std::move(record));
        queue_.push_back(run);
    }
    start_queued(now);
}

// Two entries may have the same job whose runs are not kept, if its caller has sent it to both. Their runs
// have the same numbers, and only the owner of a run may stop it.
bool agent_core::may_stop(link_number link, const run_record& record) const {
    const link_state& state = links_.at(link);
    return record.owner.name.empty() || record.owner == state.process || record.owner == state.session;
}

void agent_core::receive(link_number link, const run_stop_request& message, time_point now) {
    if (deposed_owners_.contains(message.owner))
        return;
    for (const run_ref& run : message.runs) {
        run_record* record = runs_.find(run);
        if (record == nullptr || !may_stop(link, *record))
            report_refusal(run, link, run_refusal::withdrawn);
        else if (is_final(record->state))
            report(*record, now);
        else
            request_stop(*record, run_refusal::withdrawn, now);
    }
}

void agent_core::receive(link_number, const recorded_run_ends& message, time_point now) {
    if (message.backend_life != backend_.life)
        return;
    std::set<std::uint64_t> numbers{message.end_numbers.begin(), message.end_numbers.end()};
    for (const std::uint64_t number : numbers)
        end_acknowledger_.mark_recorded(number);
    std::vector<run_ref> recorded_runs;
    runs_.for_each([&](run_record& record) {
        if (is_final(record.state) && numbers.contains(record.end_number))
            recorded_runs.push_back(record.run);
    });
    for (const run_ref& run : recorded_runs)
        runs_.erase(run);
    if (is_lease_expiring_)
        update_lease_expiry(now);
}

void agent_core::receive(link_number link, const owner_succession& message, time_point now) {
    if (!deposed_owners_.contains(message.former))
        record_decision("owner was deposed", {},
                        {{"former", message.former.name}, {"successor", message.successor.name}});
    deposed_owners_[message.former] = message.successor;
    // Until the successor's first pong, its runs are not those of an absent owner.
    owners_[message.successor].last_contact =
        std::max(owners_[message.successor].last_contact, owners_[message.former].last_contact);
    run_inventory inventory;
    inventory.owner = message.former;
    inventory.received_starts = links_[link].received_starts;
    // Runs that the successor already owns are reported again. Some of them may be runs of this former
    // session that another session adopted before the successor did.
    runs_.for_each([&](run_record& record) {
        if (record.owner == message.former)
            record.owner = message.successor;
        if (record.owner == message.successor)
            inventory.reports.push_back(make_report(record, now));
    });
    // Until the backend server's lists are read, an inventory would be incomplete, and the successor would
    // treat runs that are missing in it as not started. Runs without an owner are sent first, because the
    // successor may not have known their jobs when they were last offered.
    if (!are_durable_inventories_published_)
        return;
    send_inventory(link, {}, now);
    output_.messages.emplace_back(link, std::move(inventory));
}

void agent_core::receive(link_number, const run_claim& message, time_point now) {
    if (deposed_owners_.contains(message.owner))
        return;
    for (const claimed_run& claimed : message.runs) {
        run_record* record = runs_.find(claimed.run);
        if (record == nullptr || !record->owner.name.empty())
            continue;
        const run_state state = record->state;
        // run_table sums the needs by state, so they are changed in a state that counts in no sum.
        runs_.set_state(*record, run_state::refused);
        record->needs = claimed.needs;
        record->owner = message.owner;
        record->is_durable = message.is_durable;
        runs_.set_state(*record, state);
        if (is_final(state))
            end_run(*record, state, record->reason, now);
        else
            report(*record, now);
    }
    if (is_lease_expiring_)
        update_lease_expiry(now);
}

run_report agent_core::make_report(const run_record& record, time_point now) const {
    run_report report;
    report.run = record.run;
    report.state = record.state;
    report.reason = record.reason;
    report.end_number = record.end_number;
    report.awaits_record = record.end_number != 0 && (record.is_durable || record.owner.name.empty());
    report.backend_life = record.end_number == 0 ? 0 : backend_.life;
    report.percent = record.percent;
    report.checkpoint = record.checkpoint;
    if (record.started != time_point{}) {
        const time_point end = is_final(record.state) ? record.ended : now;
        report.run_us = std::chrono::duration_cast<microseconds>(end - record.started).count();
    }
    return report;
}

void agent_core::report(const run_record& record, time_point now) {
    if (record.owner.name.empty()) {
        if (are_inventories_published_) {
            for (auto& [link, state] : links_)
                send_inventory(link, {}, now);
        }
        return;
    }
    const auto owner = owners_.find(record.owner);
    if (owner == owners_.end() || owner->second.link == 0)
        return;
    add_report(links_[owner->second.link], make_report(record, now));
}

// An end is reported at once. A start is reported with the next message, or not at all if the run has ended
// by then.
void agent_core::add_report(link_state& state, run_report report) {
    if (is_final(report.state)) {
        state.has_urgent_report = true;
        std::erase_if(state.reports, [&](const run_report& earlier) {
            return earlier.run == report.run && !is_final(earlier.state);
        });
    }
    state.reports.push_back(std::move(report));
}

void agent_core::offer_orphans(time_point now) {
    if (!are_inventories_published_ || now - last_orphan_offer_ < limits_.orphan_offer_interval)
        return;
    last_orphan_offer_ = now;
    for (const auto& [link, state] : links_) {
        if (!state.process.name.empty())
            send_inventory(link, {}, now);
    }
}

void agent_core::send_inventory(link_number link, const incarnation& owner, time_point now) {
    run_inventory inventory;
    inventory.owner = owner;
    inventory.received_starts = links_[link].received_starts;
    inventory.is_store_check_requested = owner.name.empty() && is_checking_store(link);
    runs_.for_each([&](run_record& record) {
        if (record.owner == owner)
            inventory.reports.push_back(make_report(record, now));
    });
    if (owner.name.empty() && inventory.reports.empty())
        return;
    // The inventory does not contain ended runs that are already erased, so their pending reports are sent
    // first.
    send_reports(link, links_[link], now);
    output_.messages.emplace_back(link, std::move(inventory));
}

// Free capacity that entries may use. After the backend server was avoided, it is reduced until a run
// succeeds.
resources agent_core::free_capacity(time_point now) const {
    resources free = backend_.capacity - runs_.held();
    if (backend_health_.is_on_probation(now)) {
        const resources available = agent_limits::probation_capacity(backend_.capacity) - runs_.held();
        free.cpu_millicores = std::min(free.cpu_millicores, available.cpu_millicores);
        free.memory_mb = std::min(free.memory_mb, available.memory_mb);
    }
    return free;
}

agent_free_capacity agent_core::free_capacity_for(const link_state& link, time_point now) const {
    agent_free_capacity result{free_capacity(now), runs_.queued(), link.received_starts, {}, 0};
    if (!limits_.orders_runs_by_urgency)
        return result;
    result.accepted_runs = accepted_runs_;
    result.releases = capacity_profile::releases(active_runs(now));
    return result;
}

agent_profile agent_core::profile(time_point now) const {
    agent_profile profile;
    profile.agent = self_;
    profile.zone = zone_;
    profile.backend = backend_;
    profile.accepts_runs = !refusal_reason();
    profile.is_suspect = backend_health_.is_avoided(now);
    profile.is_on_probation = backend_health_.is_on_probation(now);
    profile.reported_capacity = free_capacity_for({}, now);
    if (const std::optional<milliseconds> left = time_until_departure(now))
        profile.leaves_in_ms = std::max<std::int64_t>(1, left->count());
    return profile;
}

void agent_core::send_profile_if_changed(time_point now) {
    if (sent_profile_.accepts_runs == !refusal_reason() &&
        sent_profile_.is_suspect == backend_health_.is_avoided(now) &&
        sent_profile_.is_on_probation == backend_health_.is_on_probation(now) &&
        sent_profile_.backend == backend_ && sent_departure_ == leaves_at_)
        return;
    sent_profile_ = profile(now);
    sent_departure_ = leaves_at_;
    for (const auto& [link, state] : links_)
        send_profile(link, state, now);
}

void agent_core::send_profile(link_number link, const link_state& state, time_point now) {
    agent_profile message = profile(now);
    message.accepts_runs = message.accepts_runs && !state.released_at;
    message.reported_capacity.received_starts = state.received_starts;
    output_.messages.emplace_back(link, std::move(message));
}

void agent_core::flush_reports(time_point now) {
    for (auto& [link, state] : links_) {
        if (state.has_urgent_report || (has_unsent_updates(state, now) && now >= next_update(state, now)))
            send_reports(link, state, now);
    }
}

bool agent_core::has_unsent_updates(const link_state& link, time_point now) const {
    if (link.released_at)
        return !link.reports.empty();
    // Expected releases change all the time, so they are sent only with other news.
    return !link.reports.empty() || free_capacity(now) != link.sent_capacity.free ||
           runs_.queued() != link.sent_capacity.queued ||
           link.received_starts != link.sent_capacity.received_starts;
}

time_point agent_core::next_update(const link_state& link, time_point now) const {
    const time_point regular = next_regular_update(link);
    if (!limits_.orders_runs_by_urgency)
        return regular;
    const std::optional<time_point> early =
        link.early.due(has_room(now), limits_.capacity_report_interval(links_.size()));
    return early ? std::min(regular, *early) : regular;
}

time_point agent_core::next_regular_update(const link_state& link) const {
    return link.capacity_sent_at + limits_.capacity_report_interval(links_.size());
}

void agent_core::send_reports(link_number link, link_state& state, time_point now) {
    run_reports message;
    message.reports.swap(state.reports);
    if (limits_.orders_runs_by_urgency) {
        const std::optional<time_point> due =
            state.early.due(has_room(now), limits_.capacity_report_interval(links_.size()));
        const bool is_early =
            !state.has_urgent_report && now < next_regular_update(state) && due && now >= *due;
        if (is_early)
            record_decision("reporting early that capacity has run out or is free again", {},
                            {{"entry", state.process.name}, {"has_room", has_room(now) ? 1 : 0}});
        state.early.sent(has_room(now), is_early, now);
    }
    state.has_urgent_report = false;
    message.reported_capacity = free_capacity_for(state, now);
    message.sent_ns = now.time_since_epoch().count();
    state.sent_capacity = message.reported_capacity;
    state.capacity_sent_at = now;
    output_.messages.emplace_back(link, std::move(message));
}

} // namespace persimmonstile
