#pragma once

#include "saving_executor.h"
#include "soak/deployment.h"
#include "soak/soak_options.h"
#include "standins/order_backend.h"
#include "state/ids.h"
#include "state/run_ref.h"
#include "state/time.h"
#include "transport/http_client.h"
#include "transport/system_clock_source.h"

#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>
#include <nlohmann/json.hpp>

namespace persimmonstile::review {

// Exit codes of a case.
constexpr int exit_kept = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// A request of a caller, and its answer once there is one.
struct call {
    std::string name;
    bool is_done = false;
    // 0 if no complete answer came.
    long status = 0;
    std::string body;
    // Milliseconds since the beginning of the case.
    std::int64_t sent_at = 0;
    std::int64_t answered_at = 0;
};

// A run as its backend server saw it.
struct seen_run {
    run_ref run;
    std::string backend;
    std::int64_t begun_at = 0;
    // -1 while it goes on.
    std::int64_t ended_at = -1;
    run_state final_state = run_state::running;
};

// What a case is started with: programs, folder of the record, folder for settings and logs, and whether the
// disruption takes place.
struct case_options {
    std::string programs;
    std::string record_path;
    std::string work;
    bool has_trouble = true;
};

// Reads the command line and the variable TROUBLE. Throws std::exception if something is missing.
case_options read_case_options(int argc, char** argv);

// A small deployment of real daemon processes with stand-ins of the store and of the backend servers,
// callers, and a record of what all of them see. The work of a task in milliseconds is the payload of its
// job.
class world {
public:
    world(const case_options& options, int entries, int backends);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    soak::deployment& deployment() { return *deployment_; }
    std::int64_t now_ms() const;
    // Writes a line to the record.
    void note(const std::string& text);

    void run_for(milliseconds time);
    // Returns whether the condition came true in time.
    bool run_until(const std::function<bool()>& condition, milliseconds limit);
    // Waits until all entries are ready and take jobs that need every agent. False if that takes too long.
    bool wait_until_ready();

    // Sends a request to the entry at this position on a connection of its own. Headers and body are those of
    // the platform's callers.
    std::shared_ptr<call> send(const std::string& method, std::size_t entry, const job_id& job,
                               const std::string& body, milliseconds patience);
    // A body of one step after the other, each of one task. The tasks work for work_ms.
    static std::string job_body(std::int64_t work_ms, int steps, bool is_best_effort);

    const std::vector<seen_run>& runs() const { return runs_; }
    // Runs of the job that go on now.
    std::vector<const seen_run*> active_runs(const job_id& job) const;
    // Position of the agent whose backend server has the id.
    std::size_t agent_of(const std::string& backend) const;

    // Puts a backend server whose tasks write checkpoints, and with these labels, in the place of the one
    // beside the agent at this position. Call it before anything else runs.
    saving_executor& use_saving_executor(std::size_t position, std::vector<std::string> labels);

    void kill(soak::daemon_node& node);
    void freeze(soak::daemon_node& node);
    void wake(soak::daemon_node& node);
    void restart(soak::daemon_node& node);

private:
    void run_event(const backend_profile& backend, const order_backend::event& event);
    void run_begun(const run_ref& run, const std::string& backend, const std::string& remark);
    void run_ended(const run_ref& run, const std::string& backend, run_state state,
                   const std::string& remark);

    case_options case_options_;
    soak::soak_options options_;
    asio::io_context context_{1};
    asio::signal_set signals_{context_, SIGINT, SIGTERM};
    bool is_interrupted_ = false;
    system_clock_source clock_;
    time_point begun_;
    std::ofstream record_;
    std::vector<seen_run> runs_;
    std::vector<std::unique_ptr<http_client>> clients_;
    std::unique_ptr<soak::deployment> deployment_;
    std::unique_ptr<saving_executor> saving_executor_;
};

// Runs a case and turns exceptions into exit_not_run.
int run_case(int argc, char** argv, const std::function<int(const case_options&)>& play);

} // namespace persimmonstile::review
