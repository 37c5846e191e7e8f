#pragma once

#include "coordination/agent_core.h"
#include "daemon/agent_metrics.h"
#include "daemon/link_hub.h"
#include "daemon/store_router.h"
#include "protocol/daemon_settings.h"
#include "state/clock_source.h"

#include <functional>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// Gives an order to the backend server. The handler is called once, later.
using order_caller = std::function<void(const backend_order& order, const std::string& backend_id,
                                        std::function<void(const backend_reply&)>)>;

// An agent of a deployment whose jobs are kept in the store: connects the decision logic with the backend
// server, the entries and the clock. Everything happens on the thread that runs the context.
class durable_agent {
public:
    struct ports {
        order_caller orders;
        store_caller store;
    };

    durable_agent(asio::io_context& context, const daemon_settings& settings, const agent_limits& limits,
                  const clock_source& clock, ports outside);

    // What the backend server reports of itself.
    void announced(const backend_announcement& announcement);
    void left(const std::string& backend_id);

    void begin_shutdown();
    bool is_drained() const { return core_.is_drained(); }
    void stop();

    // The metrics as they are now, in the Prometheus text format.
    std::string metrics_text();

private:
    void run(const std::function<void()>& event);
    void flush();
    void schedule();
    void update_entries();
    void find_entries();
    void entries_listed(const store_reply& reply);

    const clock_source& clock_;
    ports outside_;
    agent_core core_;
    link_hub links_;
    agent_metrics metrics_;
    asio::steady_timer timer_;
    time_point timer_due_{};
    // Addresses from the settings and the store, for use while no entry is connected that names others.
    std::set<std::string> known_addresses_;
    std::set<std::string> dialed_;
    // No connected entry names others.
    bool is_searching_ = true;
    bool is_listing_ = false;
    time_point next_listing_{};
    bool is_stopped_ = false;
};

} // namespace persimmonstile
