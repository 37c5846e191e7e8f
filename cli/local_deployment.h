#pragma once

#include "daemon/agent_daemon.h"
#include "daemon/entry_daemon.h"
#include "protocol/fleet_document.h"
#include "standins/backend_standin.h"
#include "standins/store_standin.h"
#include "state/clock_source.h"
#include "transport/etcd_store.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonstile {

// Sizes of a deployment in one process.
struct local_options {
    std::size_t entries = 3;
    // Agents, each with a backend server stand-in.
    std::size_t agents = 3;
    std::size_t zones = 3;
    std::uint32_t slots = 8;
    std::string service = "dispatch";
    std::string team = "stores";
    // Speed factor of the backend server with this position.
    std::function<double(std::size_t)> speed = [](std::size_t) {
        return 1.0;
    };
    // Last word on the settings of each daemon.
    std::function<void(daemon_settings&)> adjust = [](daemon_settings&) {
    };
    // HTTP port of the first entry, the next ones follow; 0 lets the system choose.
    std::uint16_t first_port = 0;
};

// A store stand-in, entries, agents and backend server stand-ins on loopback in this process.
class local_deployment {
public:
    local_deployment(local_options options, const clock_source& clock);
    ~local_deployment();
    local_deployment(const local_deployment&) = delete;
    local_deployment& operator=(const local_deployment&) = delete;

    // Waits until every entry is ready and owns partitions, and every agent may start tasks; false after the
    // limit.
    bool wait_until_ready(std::chrono::seconds limit);

    std::string entry_url(std::size_t index) const;
    store_standin& store() { return store_; }
    backend_standin& backend(std::size_t index) { return *agents_.at(index).backend; }
    std::size_t agent_count() const { return agents_.size(); }

    // Ends the process's part without a graceful shutdown, as a kill would, and starts it again as a new
    // incarnation.
    void kill_entry(std::size_t index);
    void start_entry(std::size_t index);
    void kill_agent(std::size_t index);
    void start_agent(std::size_t index);
    // SIGTERM: true if it drained within the limit.
    bool stop_entry(std::size_t index, std::chrono::seconds limit);
    bool stop_agent(std::size_t index, std::chrono::seconds limit);

    // Writes the declarations as the next revision to the store; false if it was not accepted.
    bool apply(const fleet_declarations& declarations);
    fleet_declarations declarations() const;

    // Starts of tasks on all backend servers, and those that were second starts.
    std::size_t total_starts() const;
    std::size_t double_starts() const;

private:
    struct agent_slot {
        daemon_settings settings;
        std::unique_ptr<agent_daemon> daemon;
        std::unique_ptr<backend_standin> backend;
    };
    struct entry_slot {
        daemon_settings settings;
        std::unique_ptr<entry_daemon> daemon;
    };

    daemon_settings entry_settings(std::size_t index) const;
    daemon_settings agent_settings(std::size_t index) const;

    local_options options_;
    const clock_source& clock_;
    store_standin store_;
    etcd_store client_;
    fleet_document document_;
    std::uint64_t config_mod_ = 0;
    std::vector<entry_slot> entries_;
    std::vector<agent_slot> agents_;
};

// Repeats the condition until it holds; false after the limit.
bool wait_until(std::chrono::milliseconds limit, const std::function<bool()>& condition);

} // namespace persimmonstile
