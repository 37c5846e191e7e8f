#include "review/harness-3/cases.h"
#include "review/harness-3/world.h"

#include <csignal>
#include <optional>

namespace persimmonstile::review {

namespace {

const job_id job = "5c0e7a21d94b36f8";

// The size of the deployment in the site file.
constexpr int entries = 3;
constexpr int agents = 11;

constexpr milliseconds first_work{3000};
constexpr milliseconds second_work{3000};
constexpr milliseconds job_patience{20000};
constexpr milliseconds cancel_patience{1500};
constexpr milliseconds cancel_pause{200};

// A little less than the longest one of the site file, 3.5 s, because signals are sent on a grid.
constexpr milliseconds freeze{3400};

// From the beginning of the freeze until the client cancels the job.
constexpr milliseconds time_to_cancel{1500};

// cancel_ms and StopMs.
constexpr milliseconds cancel_bound{3000};
constexpr milliseconds stop_bound{50};

bool is_acknowledged(const client_answer& answer) {
    return (answer.answer.status >= 200 && answer.answer.status < 300) || answer.answer.status == 410;
}

} // namespace

int play_case_11(const case_options& options) {
    world site{options, entries, agents};
    if (!site.begin())
        return not_run;
    job_plan plan = world::plan_of(1, first_work, false);
    job_step second = plan.steps.front();
    second.after = {0};
    second.estimate_ms = second_work.count();
    plan.steps.push_back(second);
    const auto submitted = site.submit(0, job, plan, job_patience);
    site.run_for(milliseconds{300});
    if (site.runs_of(job).empty())
        return not_run;
    std::optional<time_point> woken;
    const time_point frozen = site.now();
    if (options.has_trouble) {
        site.record("edge-0 is stopped by SIGSTOP");
        world::signal(site.entry(0), SIGSTOP);
    }
    // The client cancels the job at another entry until that is acknowledged.
    site.run_for(time_to_cancel);
    std::shared_ptr<client_answer> cancelled = site.cancel(1, job, cancel_patience);
    std::optional<time_point> acknowledged;
    std::optional<time_point> ask_again_at;
    const auto advance = [&] {
        const time_point now = site.now();
        if (options.has_trouble && !woken && now >= frozen + freeze) {
            site.record("edge-0 goes on after SIGCONT");
            world::signal(site.entry(0), SIGCONT);
            woken = now;
        }
        if (!acknowledged && cancelled->has_arrived) {
            if (is_acknowledged(*cancelled)) {
                acknowledged = cancelled->at;
                site.record("the cancelling is acknowledged");
            } else if (!ask_again_at) {
                ask_again_at = now + cancel_pause;
            } else if (now >= *ask_again_at) {
                cancelled = site.cancel(1, job, cancel_patience);
                ask_again_at.reset();
            }
        }
        return acknowledged && (woken || !options.has_trouble) && now >= *acknowledged + 4 * cancel_bound;
    };
    if (!site.run_until(advance, milliseconds{25000}))
        return not_run;
    bool is_broken = false;
    for (const run_interval& run : site.runs_of(job)) {
        const std::string name = "step " + std::to_string(run.run.task.step) + " at " + run.executor;
        const auto after = [&](time_point at) {
            return std::to_string(std::chrono::duration_cast<milliseconds>(at - *acknowledged).count()) +
                   " ms";
        };
        if (run.begun > *acknowledged + cancel_bound) {
            site.record("UNASKED: a task of " + name + " is started " + after(run.begun) +
                        " after the cancelling of its job was acknowledged");
            is_broken = true;
        } else if (std::min(run.ended, site.now()) > *acknowledged + cancel_bound + stop_bound) {
            site.record("a task of " + name + " runs on until " + after(std::min(run.ended, site.now())) +
                        " after the cancelling of its job was acknowledged");
        }
    }
    return is_broken ? rule_broken : rule_held;
}

} // namespace persimmonstile::review
