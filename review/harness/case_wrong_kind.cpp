#include "cases.h"

#include <algorithm>

namespace persimmonstile::review {

// An executor with the label that a job requires crashes when it receives the start order. Its next boot is
// of another kind, without the label. The task must not start there.
int play_wrong_kind(site& world) {
    const std::string job = "a15dcf76ce908b43";
    constexpr milliseconds away{700};
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [](const std::string&, const start_order&) {
                          return run_plan{milliseconds{50}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    std::vector<std::string> wrong;
    int started = 0;
    world.set_event_handler([&](const run_event& event) {
        if (event.run.task.job != job || event.what != run_event::kind::started)
            return;
        ++started;
        const std::size_t number = event.executor == "i-3" ? 3 : event.executor == "i-2" ? 2 : 1;
        const std::vector<std::string>& labels = world.executor_of(number).profile().labels;
        if (std::find(labels.begin(), labels.end(), "b") == labels.end())
            wrong.push_back(task_text(event.run.task) + " at " + event.executor);
    });
    bool has_crashed = !world.trouble();
    world.executor_of(3).set_start_filter([&](const start_order& start) {
        if (has_crashed || start.run.task.job != job)
            return true;
        has_crashed = true;
        world.note("executor i-3 crashes; its next boot is of kind a");
        world.executor_of(3).crash(away, {"a", "r1-1"});
        return false;
    });
    if (!world.submit(1, job, job_body(1, 50, R"(,"RequiredLabel":"b")")))
        return could_not_run;
    world.run_until([&] { return started > 0; }, milliseconds{6000});
    world.run_for(milliseconds{1000});
    world.note("state of the job: " + world.state_of(job));
    if (!has_crashed || (!world.trouble() && started == 0))
        return could_not_run;
    for (const std::string& each : wrong)
        world.note("BROKEN ROUTE: a start without the label in RequiredLabel: " + each);
    return wrong.empty() ? rule_held : rule_broken;
}

} // namespace persimmonstile::review
