#pragma once

#include "soak/child_process.h"
#include "soak/fault_proxy.h"
#include "standins/caller_wire.h"
#include "standins/kv_server.h"
#include "standins/order_server.h"
#include "state/deployment_config.h"
#include "transport/http_client.h"
#include "transport/system_clock_source.h"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile::review {

// Prepared by run.sh.
struct case_options {
    // The daemon, as in the run commands of the deploy file.
    std::string program;
    // Temporary directory for settings and logs.
    std::string work;
    std::string record_path;
    // Whether the disruption of the case takes place.
    bool has_trouble = true;
};

// Ends the case at the next opportunity, with all processes that it has started. Safe in a signal handler.
void end_case();

// A daemon, which is started and ended as a process of its own.
struct node {
    std::string name;
    std::string front;
    std::string ready;
    std::vector<std::string> command;
    std::string log;
    std::unique_ptr<soak::child_process> process;
};

// One run of a task at one executor.
struct run_interval {
    std::string executor;
    run_ref run;
    time_point begun{};
    time_point ended = time_point::max();
    run_state how = run_state::running;
};

// What a client got. status is 0 if there was no answer.
struct client_answer {
    bool has_arrived = false;
    http_answer answer;
    time_point at{};
};

// A small deployment on loopback addresses: the platform's store, executors with an agent each, and entries.
// Everything but the daemons runs on the calling thread.
class world {
public:
    world(const case_options& options, int entries, int agents);

    // Starts all daemons and waits until a first job of a client has completed. Returns false if it does not.
    bool begin();

    void run_for(milliseconds time);
    bool run_until(const std::function<bool()>& condition, milliseconds limit);

    void start(node& daemon);
    static void signal(node& daemon, int number);

    std::shared_ptr<client_answer> submit(int entry, const job_id& job, const job_plan& plan,
                                          milliseconds patience);
    std::shared_ptr<client_answer> ask(int entry, const job_id& job, milliseconds patience);
    std::shared_ptr<client_answer> cancel(int entry, const job_id& job, milliseconds patience);

    // A plan of one step.
    static job_plan plan_of(std::uint32_t tasks, milliseconds work, bool is_durable);

    // Time until the executor sends its next status report.
    milliseconds until_report(int executor) const;

    // Runs of one task that are in progress at the same time on two executors, as text.
    std::vector<std::string> overlaps(const job_id& job) const;
    std::vector<run_interval> runs_of(const job_id& job) const;

    void record(const std::string& line);

    kv_server& store() { return *store_; }
    order_server& executor(int number) { return *executors_[static_cast<std::size_t>(number)]; }
    node& entry(int number) { return entries_[static_cast<std::size_t>(number)]; }
    node& agent(int number) { return agents_[static_cast<std::size_t>(number)]; }
    int agents() const { return static_cast<int>(agents_.size()); }
    time_point now() const { return clock_.now(); }
    static std::string executor_name(int number) { return "executor-" + std::to_string(number); }

private:
    std::string address(int group, int number, int port) const;
    std::string write_settings(const std::string& name, const std::string& text) const;
    void make_store();
    void make_entry(int number);
    void make_agent(int number, int entries);
    void note(const backend_profile& executor, const order_backend::event& event, bool is_late);
    std::shared_ptr<client_answer> send(const std::string& what, http_client_request request);

    case_options options_;
    asio::io_context context_{1};
    system_clock_source clock_;
    time_point begun_;
    std::ofstream record_;
    int network_;
    deployment_config config_;
    std::unique_ptr<kv_server> store_;
    std::vector<node> entries_;
    std::vector<node> agents_;
    std::vector<std::unique_ptr<order_server>> executors_;
    std::vector<time_point> first_reports_;
    std::vector<run_interval> runs_;
    // A client has a connection of its own.
    std::vector<std::unique_ptr<http_client>> clients_;
};

} // namespace persimmonstile::review
