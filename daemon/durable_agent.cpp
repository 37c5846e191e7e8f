#include "daemon/durable_agent.h"

#include "coordination/store_keys.h"
#include "daemon/log_decision.h"

#include <algorithm>
#include <random>
#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "agent";

// Timers tend to fire late, so shorter delays would add wake-ups without a gain in precision.
constexpr milliseconds min_timer_delay{1};

// While no entry is known, the agent lists the entries in the store at this interval.
constexpr milliseconds listing_interval{300};
constexpr milliseconds listing_timeout{500};

incarnation make_incarnation(const std::string& name) {
    std::random_device source;
    return {name, (std::uint64_t{source()} << 32U | source()) >> 1U};
}

} // namespace

durable_agent::durable_agent(asio::io_context& context, const daemon_settings& settings,
                             const agent_limits& limits, const clock_source& clock,
                             external_interfaces interfaces)
    : clock_{clock}
    , interfaces_{std::move(interfaces)}
    , core_{make_incarnation(settings.name), settings.zone, limits, clock.now()}
    , links_{context,
             clock,
             {[this](link_number link, const std::string& address) {
                  handle_event([&] { core_.link_opened(link, clock_.now(), address); });
              },
              [this](link_number link) { handle_event([&] { core_.link_closed(link, clock_.now()); }); },
              [this](link_number link, const work_message& message) {
                  handle_event([&] { core_.received(link, message, clock_.now()); });
              }}}
    , wakeup_timer_{context}
    , known_addresses_{settings.peers.begin(), settings.peers.end()} {
    handle_event([] {});
}

void durable_agent::handle_event(const std::function<void()>& event) {
    if (is_stopped_)
        return;
    event();
    perform_output();
    schedule_wakeup();
}

void durable_agent::perform_output() {
    agent_output output = core_.take_output(clock_.now());
    for (const decision& made : output.decisions) {
        metrics_.record_decision(made.what);
        log_decision(component, made);
    }
    for (const run_state state : output.ends)
        metrics_.record_run_end(state);
    for (const auto& [link, message] : output.messages)
        links_.send(link, message);
    for (const backend_order& order : output.orders) {
        interfaces_.orders(
            order, [this, action = order.action.index(), sent = clock_.now()](const backend_reply& reply) {
                metrics_.record_order(action, reply.verdict, clock_.now() - sent);
                handle_event([&] { core_.replied(reply, clock_.now()); });
            });
    }
    for (const link_number link : output.links_to_close)
        links_.close(link, "entry is no longer served");
    if (core_.take_address_change() || has_no_entry_addresses_)
        update_entry_connections();
}

void durable_agent::update_entry_connections() {
    std::set<std::string> addresses = core_.served_addresses();
    has_no_entry_addresses_ = addresses.empty();
    if (has_no_entry_addresses_) {
        list_entries();
        addresses = known_addresses_;
    }
    if (addresses != dialed_addresses_) {
        dialed_addresses_ = addresses;
        links_.set_dialed_addresses(addresses);
    }
}

void durable_agent::schedule_wakeup() {
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
        handle_event([this] { core_.tick(clock_.now()); });
    });
}

void durable_agent::list_entries() {
    const time_point now = clock_.now();
    if (is_listing_ || now < next_listing_)
        return;
    is_listing_ = true;
    next_listing_ = now + listing_interval;
    const store_call call = store_list{entry_prefix, {}};
    interfaces_.store(call, listing_timeout, [this, call, now](const store_reply& reply) {
        metrics_.store_calls().record_call(call, reply, clock_.now() - now);
        handle_event([&] { entries_listed(reply); });
    });
}

void durable_agent::entries_listed(const store_reply& reply) {
    is_listing_ = false;
    const auto* page = std::get_if<item_listing>(&reply);
    if (page == nullptr)
        return;
    for (const store_item& item : page->items) {
        if (const auto* entry = std::get_if<entry_record>(&item.value))
            known_addresses_.insert(entry->peer_address);
    }
}

bool durable_agent::announced(const backend_announcement& announcement) {
    bool is_acknowledged = false;
    handle_event([&] { is_acknowledged = core_.announced(announcement, clock_.now()); });
    return is_acknowledged;
}

void durable_agent::left(const std::string& backend_id) {
    handle_event([&] { core_.left(backend_id, clock_.now()); });
}

void durable_agent::begin_shutdown() {
    handle_event([this] { core_.begin_shutdown(clock_.now()); });
}

std::string durable_agent::metrics_text() {
    metrics_.update_gauges(core_);
    return metrics_.prometheus_text();
}

void durable_agent::stop() {
    is_stopped_ = true;
    wakeup_timer_.cancel();
    links_.stop();
}

} // namespace persimmonstile
