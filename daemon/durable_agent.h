#pragma once

#include "coordination/agent_core.h"
#include "daemon/agent_metrics.h"
#include "daemon/peer_links.h"
#include "daemon/store_router.h"
#include "protocol/daemon_settings.h"
#include "state/clock_source.h"

#include <functional>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// Sends an order to the backend server. The handler is called exactly once, after the call has returned.
using order_caller =
    std::function<void(const backend_order& order, std::function<void(const backend_reply&)>)>;

// An agent in a deployment with durable jobs. It connects agent_core with the backend server, the entries,
// the store and the clock. All calls are made on the thread that runs the context.
class durable_agent {
public:
    // Calls that leave the process.
    struct external_interfaces {
        order_caller orders;
        store_caller store;
    };

    durable_agent(asio::io_context& context, const daemon_settings& settings, const agent_limits& limits,
                  const clock_source& clock, external_interfaces interfaces);

    // A backend server has announced itself, or has deregistered. An announcement is to be acknowledged only
    // if announced() returns true.
    bool announced(const backend_announcement& announcement);
    void left(const std::string& backend_id);

    void begin_shutdown();
    bool is_drained() const { return core_.is_drained(); }
    void stop();

    // The present metrics in the Prometheus text format.
    std::string metrics_text();

private:
    void handle_event(const std::function<void()>& event);
    void perform_output();
    void schedule_wakeup();
    void update_entry_connections();
    void list_entries();
    void entries_listed(const store_reply& reply);

    const clock_source& clock_;
    external_interfaces interfaces_;
    agent_core core_;
    peer_links links_;
    agent_metrics metrics_;
    asio::steady_timer wakeup_timer_;
    time_point wakeup_due_{};
    // Entry addresses from the settings and the store. They are dialed while agent_core knows no entry
    // addresses.
    std::set<std::string> known_addresses_;
    std::set<std::string> dialed_addresses_;
    // True while agent_core knows no entry addresses.
    bool has_no_entry_addresses_ = true;
    bool is_listing_ = false;
    time_point next_listing_{};
    bool is_stopped_ = false;
};

} // namespace persimmonstile
