#include "daemon/durable_entry.h"

#include "coordination/store_keys.h"
#include "daemon/log_decision.h"
#include "transport/logging.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace persimmonstile {

namespace {

constexpr const char* component = "entry";

// Timers may fire late but not early. Shorter delays would only cause extra wake-ups.
constexpr milliseconds min_timer_delay{1};

// Short enough to detect a persistent queue of events within a fraction of
// overload_thresholds::detection_time. Costs about a fiftieth of the work that requests cause.
constexpr milliseconds load_probe_interval{25};

entry_record make_member(const daemon_settings& settings) {
    entry_record self;
    self.session.name = settings.name;
    self.zone = settings.zone;
    self.peer_address =
        settings.advertised_peer_address.empty() ? settings.peer_address : settings.advertised_peer_address;
    return self;
}

std::uint64_t random_number() {
    std::random_device source;
    return (std::uint64_t{source()} << 32U | source()) >> 1U;
}

} // namespace

durable_entry::durable_entry(asio::io_context& context, const daemon_settings& settings,
                             const entry_limits& limits, const clock_source& clock,
                             external_interfaces interfaces)
    : context_{context}
    , clock_{clock}
    , interfaces_{std::move(interfaces)}
    , core_{{settings.name, random_number()}, make_member(settings), limits,
            interfaces_.config_prefix,        random_number(),       random_number}
    , links_{context,
             clock,
             {[this](link_number link, const std::string& dialed_address) {
                  handle_event([&] { core_.link_opened(link, !dialed_address.empty(), clock_.now()); });
              },
              [this](link_number link) { handle_event([&] { core_.link_closed(link); }); },
              [this](link_number link, const work_message& message) {
                  received(link, message);
              }}}
    , store_{clock,
             {interfaces_.store,
              [this] {
                  std::vector<link_number> links;
                  for (const auto& [name, link] : core_.peers())
                      links.push_back(link);
                  return links;
              },
              [this](link_number link, const work_message& message) {
                  links_.send(link, message);
              }},
             entry_key(settings.name)}
    , wakeup_timer_{context}
    , load_probe_timer_{context}
    , own_address_{make_member(settings).peer_address} {
    links_.listen(settings.peer_address);
    schedule_load_probe();
    handle_event([] {});
}

// Applies an event to the core, performs the resulting output and schedules the next wake-up.
void durable_entry::handle_event(const std::function<void()>& event) {
    if (is_stopped_)
        return;
    // The output waits until all departed callers are known.
    if (is_dropping_callers_) {
        event();
        return;
    }
    catch_up();
    event();
    perform_output();
    schedule_wakeup();
}

// The end of a connection is one event among many, so after a pause tasks could be placed for callers whose
// departure waits to be read. Such a caller may have sent its job to another entry already.
void durable_entry::catch_up() {
    if (!interfaces_.close_abandoned || !pauses_.is_paused(clock_.now()))
        return;
    pauses_.turned(clock_.now());
    is_dropping_callers_ = true;
    const std::size_t dropped = interfaces_.close_abandoned();
    is_dropping_callers_ = false;
    // Jobs whose time is over, and runs that have certainly ended, are known by the clock alone.
    core_.tick(clock_.now(), clock_.wall_now());
    log_event(log_level::warn, component, "the process was suspended or is far behind with its events",
              {{"callers_left", static_cast<std::int64_t>(dropped)}});
}

void durable_entry::catch_up_after_pause() {
    if (pauses_.is_paused(clock_.now()))
        handle_event([] {});
}

void durable_entry::perform_output() {
    const time_point now = clock_.now();
    if (core_.take_config_change()) {
        if (auto config = interfaces_.decode_config(core_.operator_records().items(),
                                                    core_.operator_records().revision(), core_.config()))
            core_.set_config(std::move(config), now);
    }
    entry_output output = core_.take_output(now);
    for (const decision& made : output.decisions) {
        metrics_.record_decision(made.what);
        log_decision(component, made);
    }
    for (const auto& [what, time] : output.timings)
        metrics_.record_timing(what, time);
    for (const auto& [link, message] : output.messages)
        links_.send(link, message);
    for (const store_request& request : output.store_calls)
        call_store(request);
    for (const caller_reply& reply : output.replies) {
        const auto found = open_requests_.find(reply.token);
        // The caller has left.
        if (found == open_requests_.end())
            continue;
        const open_request request = std::move(found->second);
        open_requests_.erase(found);
        metrics_.record_reply(reply, now - request.arrived);
        request.on_reply(reply);
    }
    update_peer_connections();
}

void durable_entry::schedule_wakeup() {
    const time_point now = clock_.now();
    const time_point due = std::max(core_.next_wakeup(now), now + min_timer_delay);
    if (wakeup_due_ > now && wakeup_due_ <= due)
        return;
    wakeup_due_ = due;
    wakeup_timer_.expires_after(due - now);
    wakeup_timer_.async_wait([this](asio::error_code error) {
        if (error || is_stopped_)
            return;
        wakeup_due_ = {};
        store_.tick();
        handle_event([this] { core_.tick(clock_.now(), clock_.wall_now()); });
    });
}

void durable_entry::schedule_load_probe() {
    const time_point due = clock_.now() + load_probe_interval;
    load_probe_timer_.expires_after(load_probe_interval);
    load_probe_timer_.async_wait([this, due](asio::error_code error) {
        if (error || is_stopped_)
            return;
        record_load_probe(due);
        schedule_load_probe();
    });
}

void durable_entry::record_load_probe(time_point due) {
    const time_point now = clock_.now();
    const bool was_overloaded = overload_.is_overloaded();
    overload_.timer_fired(due, now);
    catch_up_after_pause();
    pauses_.turned(now);
    if (overload_.is_overloaded() == was_overloaded)
        return;
    const auto lateness = std::chrono::duration_cast<milliseconds>(now - due);
    if (was_overloaded)
        log_event(log_level::info, component, "no longer overloaded; ready for new connections");
    else
        log_event(log_level::warn, component, "overloaded; reporting not ready and shedding connections",
                  {{"event_delay", lateness}, {"open_jobs", core_.open_jobs()}});
}

void durable_entry::call_store(const store_request& request) {
    store_.call(
        request.call, request.timeout, [this, request, called = clock_.now()](const store_reply& reply) {
            metrics_.store_calls().record_call(request.call, reply, clock_.now() - called);
            handle_event([&] { core_.store_replied(request.id, reply, clock_.now(), clock_.wall_now()); });
        });
}

void durable_entry::received(link_number link, const work_message& message) {
    if (const auto* call = std::get_if<relayed_store_call>(&message))
        store_.serve_peer(link, *call);
    else if (const auto* reply = std::get_if<relayed_store_reply>(&message))
        store_.process_relayed_reply(*reply);
    else
        handle_event([&] { core_.received(link, message, clock_.now(), clock_.wall_now()); });
}

// Of each pair of entries, the one with the smaller address opens the connection.
void durable_entry::update_peer_connections() {
    if (core_.members().version() == members_version_)
        return;
    members_version_ = core_.members().version();
    std::set<std::string> addresses;
    for (const auto& [name, state] : core_.members().entries()) {
        if (own_address_ < state.record.peer_address)
            addresses.insert(state.record.peer_address);
    }
    if (addresses == dialed_addresses_)
        return;
    dialed_addresses_ = addresses;
    links_.set_dialed_addresses(addresses);
}

caller_token durable_entry::submit(job_submission request, reply_handler on_reply) {
    const caller_token token = ++last_token_;
    request.token = token;
    open_requests_[token] = {std::move(on_reply), clock_.now()};
    handle_event([&] { core_.submit(request, clock_.now(), clock_.wall_now()); });
    return token;
}

void durable_entry::caller_left(caller_token token) {
    open_requests_.erase(token);
    handle_event([&] { core_.caller_left(token, clock_.now()); });
}

void durable_entry::query_state(const job_id& job, time_point answer_by, reply_handler on_reply) {
    const caller_token token = ++last_token_;
    open_requests_[token] = {std::move(on_reply), clock_.now()};
    handle_event([&] { core_.query_state(token, job, answer_by, clock_.now()); });
}

void durable_entry::cancel(const job_id& job, time_point answer_by, reply_handler on_reply) {
    const caller_token token = ++last_token_;
    open_requests_[token] = {std::move(on_reply), clock_.now()};
    handle_event([&] { core_.cancel(token, job, answer_by, clock_.now(), clock_.wall_now()); });
}

void durable_entry::begin_shutdown(milliseconds refuse_after, milliseconds hand_over_delay) {
    const time_point now = clock_.now();
    handle_event([&] { core_.begin_shutdown(now + refuse_after, now + hand_over_delay, now); });
}

void durable_entry::answer_waiting_callers() {
    handle_event([this] { core_.answer_waiting_callers(); });
}

std::string durable_entry::metrics_text() {
    metrics_.update_gauges(core_);
    metrics_.set_overloaded(overload_.is_overloaded());
    return metrics_.prometheus_text();
}

void durable_entry::stop() {
    is_stopped_ = true;
    wakeup_timer_.cancel();
    load_probe_timer_.cancel();
    links_.stop();
}

} // namespace persimmonstile
