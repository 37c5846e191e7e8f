#include "review/harness-3/cases.h"
#include "review/harness-3/world.h"

#include <csignal>
#include <map>
#include <optional>
#include <string>

namespace persimmonstile::review {

namespace {

const job_id job = "5c0e7a21d94b36f8";

// Of the kind of request pickup-book: tasks of up to 3.6 s that are estimated at 0.9 s, and a time limit of
// 1.5 s.
constexpr std::uint32_t tasks = 12;
constexpr milliseconds work{2600};
constexpr milliseconds estimate{900};
constexpr milliseconds patience{1500};
// RetransmitMs: a client sends a job without an answer again after this time.
constexpr milliseconds resend_delay{1300};

// A little less than the longest outage of the store in the site file, 4.5 s.
constexpr milliseconds outage{4400};
constexpr milliseconds outage_before_kill{400};
constexpr milliseconds submit_before_kill{200};
constexpr milliseconds restart_delay{550};
// The executor reports itself this long after the kill, to the agent that was started again. Its lease lasts
// up to 1 s.
constexpr milliseconds report_after_kill{700};

// The executor with most runs of the job. All executors report themselves at the same times.
int busiest(world& site) {
    std::map<std::string, int> runs;
    for (const run_interval& run : site.runs_of(job))
        ++runs[run.executor];
    int result = 0;
    for (int i = 1; i < site.agents(); ++i) {
        if (runs[world::executor_name(i)] > runs[world::executor_name(result)])
            result = i;
    }
    return result;
}

} // namespace

int play_case_13(const case_options& options) {
    world site{options, 2, 3};
    if (!site.begin())
        return not_run;
    job_plan plan = world::plan_of(tasks, work, false);
    plan.steps.front().estimate_ms = estimate.count();
    const milliseconds before = outage_before_kill + report_after_kill;
    site.run_until([&] { return site.until_report(0) > before; }, milliseconds{2000});
    site.run_until([&] { return site.until_report(0) <= before; }, milliseconds{2000});
    if (options.has_trouble) {
        site.record("the store answers 503");
        site.store().set_faults({true, {}, 0, 0});
    }
    const time_point healed = site.now() + outage;
    site.run_for(outage_before_kill - submit_before_kill);
    const auto first = site.submit(0, job, plan, patience);
    site.run_for(submit_before_kill);
    if (site.runs_of(job).size() != tasks)
        return not_run;
    const int harmed = busiest(site);
    if (options.has_trouble) {
        site.record("edge-0 and " + site.agent(harmed).name + " are killed");
        world::signal(site.entry(0), SIGKILL);
        world::signal(site.agent(harmed), SIGKILL);
        const time_point killed = site.now();
        site.run_until([&] { return site.now() >= killed + restart_delay; }, restart_delay);
        site.start(site.entry(0));
        site.start(site.agent(harmed));
    }
    if (!site.run_until([&] { return first->has_arrived; }, 2 * patience))
        return not_run;
    // A refusal is final.
    const long status = first->answer.status;
    const bool is_unanswered = status == 0 || status == 502 || status == 504;
    if (options.has_trouble && !is_unanswered)
        return not_run;
    if (is_unanswered) {
        site.run_until([&] { return site.now() >= first->at + resend_delay; }, resend_delay);
        const auto second = site.submit(1, job, plan, patience);
        site.run_until([&] { return second->has_arrived; }, 2 * patience);
    }
    site.run_until([&] { return site.now() >= healed; }, outage);
    if (options.has_trouble) {
        site.record("the store answers again");
        site.store().set_faults({});
    }
    site.run_for(milliseconds{1000});
    const auto overlaps = site.overlaps(job);
    for (const std::string& overlap : overlaps)
        site.record("TWICE: " + overlap);
    return overlaps.empty() ? rule_held : rule_broken;
}

} // namespace persimmonstile::review
