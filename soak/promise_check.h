#pragma once

#include "coordination/ledger_task.h"
#include "standins/order_backend.h"
#include "state/backend_profile.h"
#include "state/ids.h"
#include "state/job_plan.h"
#include "state/job_state.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile::soak {

// Figures of the promises that are bound to a time.
struct promise_bounds {
    // No start at a backend server that was acknowledged to be draining, or in a zone that was taken out of
    // service.
    milliseconds drain{2000};
    milliseconds zone_out{5000};
    // No start of a cancelled job after its acknowledgement.
    milliseconds cancel{3000};
    // A promise that is bound to a time holds for what was free of faults for so long before.
    milliseconds contact{3000};
    // Kept jobs that are not failed or cancelled are completed within this time after the last fault.
    milliseconds finish{14000};
};

// Checks the promises from what callers and backend servers see. Has no I/O; events come in the order of
// their time.
class promise_check {
public:
    explicit promise_check(const promise_bounds& bounds = {})
        : bounds_{bounds} {}

    // Callers.
    void submitted(const job_id& job, const job_plan& plan, std::uint32_t max_attempts);
    // A try to hand the job in has ended: accepted or served, refused, or without an answer that tells.
    void accepted(const job_id& job);
    void refused(const job_id& job);
    void unanswered(const job_id& job);
    void shown(const job_id& job, job_state state, time_point now);
    // Nobody knows the job, says an entry.
    void unknown(const job_id& job, time_point now);
    void cancelled(const job_id& job, time_point now);
    // A request to cancel the job has no answer that tells.
    void cancel_sent(const job_id& job) { jobs_[job].was_cancel_sent = true; }

    // Backend servers. is_late: the order was carried out long after it was sent.
    void run_event(const backend_profile& backend, const order_backend::event& event, bool is_late);
    void drain_acknowledged(const std::string& backend, time_point now);
    // The backend server serves again, or its zone does.
    void drain_ended(const std::string& backend) { draining_.erase(backend); }
    void zone_out(const std::string& zone, time_point now) { zones_out_[zone] = now; }
    void zone_in(const std::string& zone) { zones_out_.erase(zone); }

    // Something is harmed until fault_ended is called as often.
    void fault_begun() { ++open_faults_; }
    void fault_ended(time_point now);

    // Checks what must be true once all callers have asked for their jobs after the last fault.
    void finish(time_point now);

    const std::vector<std::string>& violations() const { return violations_; }
    std::uint64_t starts() const { return starts_; }
    std::size_t jobs() const { return jobs_.size(); }

private:
    // A run that ended failed.
    struct failed_end {
        std::string backend;
        std::uint64_t life = 0;
        run_number run = 0;
        bool is_acknowledged = false;
    };

    struct task_record {
        // Where runs of the task are active, with their numbers, and since when.
        std::map<std::pair<std::string, run_number>, time_point> active;
        // Runs that ended with success, with the number of starts of the task up to then.
        std::map<std::pair<std::string, run_number>, std::uint32_t> done_runs;
        std::uint32_t starts = 0;
        std::uint32_t done = 0;
        std::uint32_t failed = 0;
        // Runs that ended failed, by backend server and its life, in the order of their ends, and how many of
        // them came before each start. An end counts once it is acknowledged, also if that is after the
        // start.
        std::vector<failed_end> failed_ends;
        std::vector<std::pair<run_number, std::size_t>> failed_before_start;
        bool is_done_acknowledged = false;
    };

    struct job_record {
        job_plan plan;
        std::uint32_t max_attempts = 1;
        std::map<std::pair<std::uint32_t, task_index>, task_record> tasks;
        bool was_accepted = false;
        bool was_unanswered = false;
        bool was_refused = false;
        bool has_started = false;
        bool was_cancel_sent = false;
        job_state shown = job_state::unknown;
        std::optional<time_point> cancelled;
    };

    struct backend_record {
        std::map<run_ref, std::int64_t> millicores;
        std::int64_t used = 0;
    };

    void started(const backend_profile& backend, const run_ref& run, time_point now, bool is_late);
    void ended(const backend_profile& backend, const order_backend::event& event);
    void noted(const backend_profile& backend, const order_backend::event& event);
    static std::size_t count_acknowledged(const task_record& task, std::size_t first_ends);
    void check_bounds(const backend_profile& backend, const job_record& job, const std::string& name,
                      time_point now);
    bool is_calm(time_point now) const;
    bool is_all_done(const job_record& job) const;
    void report(std::string_view promise, const std::string& what);

    promise_bounds bounds_;
    std::map<job_id, job_record> jobs_;
    std::map<std::string, backend_record> backends_;
    std::map<std::string, time_point> draining_;
    std::map<std::string, time_point> zones_out_;
    int open_faults_ = 0;
    time_point last_fault_{};
    std::uint64_t starts_ = 0;
    std::vector<std::string> violations_;
};

} // namespace persimmonstile::soak
