#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstile {

// Role of a daemon process.
enum class daemon_role : std::uint8_t { entry, agent };

// Which deployment a daemon serves.
//   own         this project's interface and store; ownership by grants
//   hangerloop  the Hangerloop platform; jobs are kept in its store
enum class deployment_kind : std::uint8_t { own, hangerloop };

// How an entry decides which jobs it admits and in which order it serves them.
//   wait      a job waits; a late job is refused after room went to others for some time
//   forecast  a job that cannot end in time is refused on arrival, by a forecast of the free capacity
enum class admission_kind : std::uint8_t { wait, forecast };

// How an entry chooses the backend server of a task.
//   free_capacity  by expected run time, among those with free capacity in the latest report
//   forecast       by expected end, with the time at which capacity comes free
enum class placement_kind : std::uint8_t { free_capacity, forecast };

// When an entry asks other entries for agents.
//   never        it places tasks only at the agents that serve it
//   unreachable  if no agent that serves it could ever run a waiting task
//   full         also if no agent that serves it has free capacity for a waiting task
enum class agent_borrowing : std::uint8_t { never, unreachable, full };

// The order in which an agent starts queued runs.
//   arrival  in the order of arrival
//   urgency  by the time left until they must start, with a fair share for each entry
enum class run_queue_kind : std::uint8_t { arrival, urgency };

// Settings of one daemon process, from one JSON file and command line overrides. Addresses are "ip:port";
// port 0 lets the system choose.
struct daemon_settings {
    daemon_role role = daemon_role::entry;
    // Name of the process within its cell. A restart keeps it.
    std::string name;
    std::string zone;
    std::string rack;
    // HTTP: callers and operators at an entry, announcements at an agent, health and metrics at both.
    std::string http_address = "127.0.0.1:0";
    // Entries only: where agents and other entries connect.
    std::string peer_address = "127.0.0.1:0";
    // Entries only: base URLs of the store.
    std::vector<std::string> store_endpoints;
    // Peer addresses of entries that are tried first. The owner table names the rest.
    std::vector<std::string> peers;
    // Prefix of the cell's keys in the store.
    std::string cell = "default";
    std::uint32_t minimum_grantors = 3;
    std::uint32_t threads = 2;
    // Longest time for which a graceful shutdown waits for requests in progress.
    std::uint32_t shutdown_timeout_ms = 30000;
    // Entries only: file that the decisions about jobs are appended to for `persimmonstile replay`; empty for
    // none.
    std::string event_file;
    // Entries only: the peer address that others use, if it is not the one that is bound.
    std::string advertised_peer_address;
    // Memory in MiB for requests that are received or handled, and responses that are not yet written.
    std::uint32_t request_memory_mb = 24;
    // Connections of callers. A quarter of the process's descriptors is always left for other uses.
    std::uint32_t max_connections = 2000;
    // Longest pause within a request.
    std::uint32_t no_progress_ms = 10000;
    // One of trace, debug, info, warn, error.
    std::string log_level = "info";
    // File that spans are appended to, or base URL of an OTLP/HTTP collector; empty for none.
    std::string trace_file;
    std::string trace_url;

    // The rest concerns deployments whose jobs are kept in the platform's store.
    deployment_kind deployment = deployment_kind::own;
    // Entries only: where the balancer asks for readiness.
    std::string ready_address;
    // Where metrics are served; empty for nowhere.
    std::string metrics_address;
    // Agents only: where the backend server takes orders.
    std::string backend_address;
    // Addresses of entries on any of their ports, and the port at which all entries listen for peers.
    std::vector<std::string> seeds;
    std::uint32_t peer_port = 0;
    // Longest lease that a backend server grants.
    std::uint32_t longest_run_lease_ms = 1000;
    // Callers whose connection broke send their jobs again after this time.
    std::uint32_t caller_resend_ms = 1300;
    // A change of the operators has to be in force after this time.
    std::uint32_t config_bound_ms = 2000;
    // How much longer a task runs on another rack than that of its data.
    double remote_data_factor = 1.5;
    // Ended jobs are remembered for this long.
    std::uint32_t retention_s = 120;
    // A process that was asked to end is killed after this time.
    std::uint32_t grace_s = 6;
    // Entries only: memory for the records of open jobs, in MiB.
    std::uint32_t job_memory_mb = 24;
    // Entries only.
    admission_kind admission = admission_kind::wait;
    placement_kind placement = placement_kind::free_capacity;
    // Entries only.
    agent_borrowing borrow_agents = agent_borrowing::never;
    // Agents only.
    run_queue_kind run_queue = run_queue_kind::arrival;

    bool operator==(const daemon_settings&) const = default;
};

} // namespace persimmonstile
