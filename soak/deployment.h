#pragma once

#include "soak/child_process.h"
#include "soak/fault_proxy.h"
#include "soak/soak_options.h"
#include "standins/kv_server.h"
#include "standins/order_server.h"
#include "state/clock_source.h"
#include "state/deployment_config.h"

#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile::soak {

// A daemon with the proxies that stand between it and others. Empty pointers where there is no such way.
struct daemon_node {
    std::string name;
    std::string zone;
    std::vector<std::string> command;
    std::string log_path;
    // Null while the machine is without power.
    std::unique_ptr<child_process> process;
    std::unique_ptr<fault_proxy> to_store;
    // Of an entry: where agents and other entries reach it. Of an agent: its way to the backend server.
    std::unique_ptr<fault_proxy> to_peer;
    std::unique_ptr<fault_proxy> to_backend;
    // Of an entry: for callers and for the balancer.
    std::string front_address;
    std::string ready_address;
    std::string metrics_address;
    bool is_frozen = false;
    bool is_asked_to_end = false;
};

// Entries and agents as processes of this machine, each on a loopback address of its own, with stand-ins for
// the store and the backend servers in this process.
class deployment {
public:
    // Starts everything. Throws std::exception if an address is taken or a program is missing.
    deployment(asio::io_context& context, const soak_options& options, const clock_source& clock,
               order_server::work_reader work, order_server::event_handler on_event);

    std::vector<daemon_node>& entries() { return entries_; }
    std::vector<daemon_node>& agents() { return agents_; }
    // The backend server beside the agent of the same position.
    order_server& backend(std::size_t index) { return *backends_[index]; }
    std::size_t backend_count() const { return backends_.size(); }
    kv_server& store() { return *store_; }
    const deployment_config& config() const { return config_; }
    const std::vector<std::string>& zones() const { return zones_; }

    static void start(daemon_node& node);
    // Starts processes that have ended. Returns how often a process ended that nobody had asked to.
    int restart_ended();
    // Writes a configuration with another version.
    void change_config(deployment_config config);
    void set_zone_out(const std::string& zone, bool is_out);
    // Of the processes of one role that run now.
    static microseconds processor_time(const std::vector<daemon_node>& nodes);
    std::size_t process_count() const;
    std::size_t resident_bytes() const;

private:
    std::string address(int group, int number, int port) const;
    void make_store();
    void make_entry(int number);
    void make_agent(int number);
    void make_config();
    std::string write_settings(const std::string& name, const std::string& text) const;

    asio::io_context& context_;
    const soak_options& options_;
    const clock_source& clock_;
    order_server::work_reader work_;
    order_server::event_handler on_event_;
    // Second number of the loopback addresses, so that runs beside each other do not meet.
    int network_ = 0;
    std::vector<std::string> zones_{"zone-a", "zone-b", "zone-c"};
    deployment_config config_;
    std::unique_ptr<kv_server> store_;
    std::vector<daemon_node> entries_;
    std::vector<daemon_node> agents_;
    std::vector<std::unique_ptr<order_server>> backends_;
};

} // namespace persimmonstile::soak
