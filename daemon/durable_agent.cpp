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
constexpr milliseconds shortest_wait{1};

// While no entry is known, the agent lists the entries in the store at this interval.
constexpr milliseconds listing_interval{300};
constexpr milliseconds listing_timeout{500};

incarnation make_incarnation(const std::string& name) {
    std::random_device source;
    return {name, (std::uint64_t{source()} << 32U | source()) >> 1U};
}

} // namespace

durable_agent::durable_agent(asio::io_context& context, const daemon_settings& settings,
                             const agent_limits& limits, const clock_source& clock, ports outside)
    : clock_{clock}
    , outside_{std::move(outside)}
    , core_{make_incarnation(settings.name), settings.zone, limits, clock.now()}
    , links_{context,
             clock,
             {[this](link_number link, bool) { run([&] { core_.link_opened(link, clock_.now()); }); },
              [this](link_number link) { run([&] { core_.link_closed(link, clock_.now()); }); },
              [this](link_number link, const work_message& message) {
                  run([&] { core_.received(link, message, clock_.now()); });
              }}}
    , timer_{context}
    , known_addresses_{settings.peers.begin(), settings.peers.end()} {
    run([] {});
}

void durable_agent::run(const std::function<void()>& event) {
    if (is_stopped_)
        return;
    event();
    flush();
    schedule();
}

void durable_agent::flush() {
    agent_output output = core_.take_output(clock_.now());
    for (const decision& made : output.decisions) {
        metrics_.decided(made.what);
        log_decision(component, made);
    }
    for (const run_state state : output.ends)
        metrics_.ended(state);
    for (const auto& [link, message] : output.messages)
        links_.send(link, message);
    for (const backend_order& order : output.orders) {
        outside_.orders(
            order, core_.backend_id(),
            [this, action = order.action.index(), sent = clock_.now()](const backend_reply& reply) {
                metrics_.ordered(action, reply.verdict, clock_.now() - sent);
                run([&] { core_.replied(reply, clock_.now()); });
            });
    }
    if (core_.take_address_change() || is_searching_)
        update_entries();
}

void durable_agent::update_entries() {
    std::set<std::string> addresses = core_.entry_addresses();
    is_searching_ = addresses.empty();
    if (is_searching_) {
        find_entries();
        addresses = known_addresses_;
    }
    if (addresses != dialed_) {
        dialed_ = addresses;
        links_.set_dialed(addresses);
    }
}

void durable_agent::schedule() {
    const time_point now = clock_.now();
    const time_point due = std::max(core_.next_wakeup(now), now + shortest_wait);
    if (timer_due_ > now && timer_due_ <= due)
        return;
    timer_due_ = due;
    timer_.expires_after(due - now);
    timer_.async_wait([this](asio::error_code error) {
        if (error || is_stopped_)
            return;
        timer_due_ = {};
        run([this] { core_.tick(clock_.now()); });
    });
}

void durable_agent::find_entries() {
    const time_point now = clock_.now();
    if (is_listing_ || now < next_listing_)
        return;
    is_listing_ = true;
    next_listing_ = now + listing_interval;
    const store_call call = store_list{entry_prefix, {}};
    outside_.store(call, listing_timeout, [this, call, now](const store_reply& reply) {
        metrics_.store_calls().record_call(call, reply, clock_.now() - now);
        run([&] { entries_listed(reply); });
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

void durable_agent::announced(const backend_announcement& announcement) {
    run([&] { core_.announced(announcement, clock_.now()); });
}

void durable_agent::left(const std::string& backend_id) {
    run([&] { core_.left(backend_id, clock_.now()); });
}

void durable_agent::begin_shutdown() {
    run([this] { core_.begin_shutdown(clock_.now()); });
}

std::string durable_agent::metrics_text() {
    metrics_.observe(core_);
    return metrics_.prometheus_text();
}

void durable_agent::stop() {
    is_stopped_ = true;
    timer_.cancel();
    links_.stop();
}

} // namespace persimmonstile
