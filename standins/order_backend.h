#pragma once

#include "coordination/backend_announcement.h"
#include "coordination/backend_order.h"
#include "coordination/backend_reply.h"
#include "state/backend_profile.h"
#include "state/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonstile {

// A stand-in for a backend server that takes orders, as the platform's do: runs under a common lease, fencing
// tokens, numbered ends. Starts whatever it is told to. Not synchronised.
class order_backend {
public:
    // What happened to a run, for checks. noted: its end was acknowledged while the lease under which it was
    // listed went on; an acknowledgement after the lease has run out tells nothing.
    struct event {
        enum class kind : std::uint8_t { started, ended, noted };
        kind what = kind::started;
        run_ref run;
        run_state final_state = run_state::running;
        time_point at{};
        // Number of the end in this life; 0 if it is not listed.
        std::uint64_t end_number = 0;
    };

    explicit order_backend(backend_profile profile);

    // Carries an order out. A hold order with a wait is answered at once; the caller delays the answer until
    // has_news or the end of the wait.
    backend_reply carry_out(const backend_order& order, time_point now);
    // Whether there is an end that the acknowledged number does not cover.
    bool has_news(std::uint64_t acknowledged) const;

    // Lets time pass: tasks end, and the lease runs out.
    void advance(time_point now);
    // Everything that runs is gone, and a new life begins.
    void crash(time_point now);
    // The life that has just begun is another backend server, which is not draining.
    void set_identity(const std::string& id, std::uint64_t life);

    // Work of a task whose name this is; the default is 100 ms.
    void set_work(const task_ref& task, milliseconds work) { work_[task] = work; }
    // Tasks that fail once they have done their work.
    void set_failing(const task_ref& task) { failing_.insert(task); }
    // Runs of the task for which is_failing is true fail once they have done their work.
    void set_failing_runs(const task_ref& task, std::function<bool(run_number run)> is_failing) {
        failing_runs_[task] = std::move(is_failing);
    }
    // Tasks make no progress.
    void set_hanging(bool hangs) { hangs_ = hangs; }
    // Run time in units of the work.
    void set_slowness(double slowness) { slowness_ = slowness; }
    void set_draining(bool draining) { profile_.draining = draining; }

    backend_announcement announce(time_point now);
    const backend_profile& profile() const { return profile_; }
    std::vector<event> take_events();
    // Needs of what runs are not known to a backend server that does not guard its room, so checks pass them
    // in.
    std::vector<run_ref> running() const;

private:
    struct active_run {
        time_point begun{};
        double done = 0;
        time_point updated{};
    };

    std::int64_t clock_at(time_point now) const;
    backend_reply start(const backend_order& order, const start_order& action, time_point now);
    backend_reply stop(const backend_order& order, const stop_order& action, time_point now);
    backend_reply hold(const backend_order& order, const hold_order& action, time_point now);
    void extend_lease(std::int64_t until_ms, time_point now);
    void end(const run_ref& run, run_state final_state, time_point now);
    bool is_failing(const run_ref& run) const;
    milliseconds work_of(const task_ref& task) const;

    backend_profile profile_;
    time_point born_{};
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    bool has_lease_ = false;
    std::uint64_t last_end_ = 0;
    // Ends that were listed before the lease ran out last.
    std::uint64_t last_end_before_lapse_ = 0;
    std::uint64_t acknowledged_ = 0;
    std::map<run_ref, active_run> active_;
    std::deque<listed_end> ends_;
    // Highest run of each task that was stopped or has ended.
    std::map<task_ref, run_number> highest_;
    std::uint64_t sequence_ = 0;
    std::map<task_ref, milliseconds> work_;
    std::set<task_ref> failing_;
    std::map<task_ref, std::function<bool(run_number run)>> failing_runs_;
    bool hangs_ = false;
    double slowness_ = 1;
    std::vector<event> events_;
};

} // namespace persimmonstile
