#pragma once

#include "executor.h"
#include "link_proxy.h"
#include "soak/child_process.h"
#include "standins/kv_server.h"
#include "state/queue_policy.h"
#include "state/session_adoption.h"
#include "store_gate.h"
#include "transport/http_client.h"
#include "transport/system_clock_source.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile::review {

// What a client got for one request. status is 0 if there was no whole answer.
struct client_answer {
    bool is_done = false;
    long status = 0;
    std::string body;
};

// A process of the system. It reaches the store, and others reach it, through proxies of the test.
struct daemon_process {
    std::string name;
    std::vector<std::string> command;
    std::string log_path;
    std::string front_address;
    std::unique_ptr<soak::child_process> process;
    std::unique_ptr<link_proxy> to_store;
    std::unique_ptr<link_proxy> to_peer;
};

struct site_options {
    // Directory of the program, one for settings and logs, and the file of the record.
    std::string programs;
    std::string work;
    std::string record;
    // Whether the disruption is played.
    bool trouble = true;
};

// A small deployment: entries and agents as processes on loopback addresses, with stand-ins for the store,
// the executors and the clients in this process.
class site {
public:
    // Settings of one agent with its executor.
    struct side_options {
        std::vector<std::string> labels;
        std::int64_t cpu = 16000;
    };

    site(asio::io_context& context, const site_options& options);
    ~site();

    // Each entry is named "edge-1" and so on, each agent "side-1" and so on.
    void start_entries(int count);
    void start_sides(const std::vector<side_options>& sides, executor::planner plan);
    // Writes a configuration with one queue, "/tasks/", of the service "dispatch".
    void write_config(std::uint32_t attempts);
    // Waits until the entries accept a kept job and it has ended.
    bool wait_until_serving();

    bool trouble() const { return options_.trouble; }
    const clock_source& clock() const { return clock_; }
    kv_server& store() { return *store_; }
    // Writes that the store refused because they have too many entries.
    int refused_writes() const { return gate_->refused(); }
    // Extra time of each answer of the store; a sound store answers within 4 ms.
    void set_store_delay(milliseconds delay);
    daemon_process& entry(std::size_t number) { return entries_.at(number - 1); }
    daemon_process& side(std::size_t number) { return sides_.at(number - 1); }
    executor& executor_of(std::size_t number) { return *executors_.at(number - 1); }
    std::size_t entry_count() const { return entries_.size(); }

    void signal(daemon_process& daemon, int number);
    // Starts a process that has ended.
    void restart(daemon_process& daemon);
    bool has_ended(daemon_process& daemon);

    // Sends a request to an entry. path: what follows the prefix of the queue.
    std::shared_ptr<client_answer> send(std::size_t entry, const std::string& method, const std::string& path,
                                        const std::string& body, milliseconds deadline);
    // Sends it and waits for the answer or the deadline.
    client_answer call(std::size_t entry, const std::string& method, const std::string& path,
                       const std::string& body, milliseconds deadline);
    // Hands a job in until it is accepted, as a client does, with 1.3 s between the attempts. False after 8
    // s.
    bool submit(std::size_t entry, const std::string& job, const std::string& body);
    // The state that a client is told; empty if no entry tells one.
    std::string state_of(const std::string& job);

    // If the check becomes true, the next wait throws, so that all processes are ended.
    void set_end_check(std::function<bool()> check) { is_asked_to_end_ = std::move(check); }
    void run_for(milliseconds time);
    // Runs until the condition holds. Returns whether it does.
    bool run_until(const std::function<bool()>& condition, milliseconds limit);

    const std::vector<run_event>& events() const { return events_; }
    // Called for each event after it was recorded.
    void set_event_handler(executor::event_handler handler) { on_event_ = std::move(handler); }
    // Where the runs of a task are at work now.
    std::vector<std::string> running(const std::string& task) const;

    // The records in the store, decoded.
    std::optional<stored_record> stored(const std::string& key) const;
    std::vector<std::string> stored_keys(const std::string& prefix) const;

    // Writes a line with the time to the record.
    void note(const std::string& text);
    std::int64_t elapsed_ms() const;

private:
    std::string address(int group, std::size_t number, int port) const;
    std::string write_settings(const std::string& name, const std::string& text) const;
    void handle_event(const run_event& event);

    asio::io_context& context_;
    site_options options_;
    system_clock_source clock_;
    time_point begun_;
    std::ofstream record_;
    int network_ = 0;
    std::unique_ptr<kv_server> store_;
    std::unique_ptr<store_gate> gate_;
    std::vector<daemon_process> entries_;
    std::vector<daemon_process> sides_;
    std::vector<std::unique_ptr<executor>> executors_;
    executor::planner plan_;
    executor::event_handler on_event_;
    std::function<bool()> is_asked_to_end_;
    std::vector<run_event> events_;
    http_client client_;
    std::uint64_t config_version_ = 0;
};

std::string task_text(const task_ref& task);
// The body of a job with one step of small tasks that need not be kept.
std::string short_job_body(int count, int work_ms);
// The body of a kept job with one step.
std::string job_body(int count, int work_ms, const std::string& more_of_step = {},
                     const std::string& more_of_job = {});

} // namespace persimmonstile::review
