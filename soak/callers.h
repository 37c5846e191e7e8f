#pragma once

#include "soak/caller_totals.h"
#include "soak/promise_check.h"
#include "soak/soak_options.h"
#include "state/clock_source.h"
#include "state/deployment_config.h"
#include "transport/http_client.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile::soak {

// Callers behind a balancer: they hand jobs in at a steady rate, keep their connections while these work, ask
// for kept jobs until those have ended, and come back after refusals and broken connections.
class callers {
public:
    // An entry as the balancer knows it.
    struct target {
        std::string front_address;
        std::string ready_address;
    };

    callers(asio::io_context& context, const soak_options& options, const clock_source& clock,
            const deployment_config& config, std::vector<target> targets, promise_check& check);

    // Work of a task, as written into its payload.
    static milliseconds work_in(const std::string& payload, task_index index);

    void start();
    // Hands in nothing new; what is open goes on.
    void stop_submitting() { is_submitting_ = false; }
    void set_calm(bool is_calm) { is_calm_ = is_calm; }
    // Jobs whose end their callers do not know.
    std::vector<job_id> open_jobs() const;
    const caller_totals& totals() const { return totals_; }

private:
    struct open_job {
        queue_policy queue;
        job_plan plan;
        time_point begun{};
        bool was_accepted = false;
        bool is_calm = false;
        bool is_to_be_cancelled = false;
        int tries = 0;
    };

    struct entry_state {
        target addresses;
        int misses = 0;
        // Each has one connection at a time for each request that is open.
        std::unique_ptr<http_client> client;
    };

    void schedule_next();
    void hand_in();
    void submit(const job_id& job);
    void submit_answered(const job_id& job, const http_answer& answer);
    void ask(const job_id& job);
    void ask_answered(const job_id& job, const http_answer& answer);
    void cancel(const job_id& job);
    void end(const job_id& job, job_state state);
    void check_readiness();
    entry_state& pick_entry();
    void after(milliseconds delay, std::function<void()> action);
    job_id make_id();

    asio::io_context& context_;
    const soak_options& options_;
    const clock_source& clock_;
    const deployment_config& config_;
    promise_check& check_;
    std::mt19937_64 random_;
    std::vector<entry_state> entries_;
    std::map<job_id, open_job> open_;
    caller_totals totals_;
    asio::steady_timer arrivals_;
    asio::steady_timer readiness_;
    http_client probe_client_;
    bool is_submitting_ = true;
    bool is_calm_ = true;
};

} // namespace persimmonstile::soak
