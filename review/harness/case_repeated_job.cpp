#include "cases.h"

namespace persimmonstile::review {

// A job with two occurrences. The entry that accepted it is stopped as planned after all tasks of the first
// occurrence have ended done and these ends were noted. No task of that occurrence may start again.
int play_repeated_job(site& world) {
    const std::string job = "5c0e7a21d94b36f8";
    const std::string other_job = "1c0e7a21d94b36f8";
    constexpr std::size_t tasks = 4;
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [&](const std::string&, const start_order& start) {
                          const bool is_other = start.run.task.job == other_job;
                          return run_plan{milliseconds{is_other ? 30000 : 300}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    // Other work keeps all executors under their leases.
    if (!world.submit(2, other_job, job_body(3, 30000, R"(,"AntiAffinity":1)")))
        return could_not_run;
    const std::int64_t start_ms = unix_time_ms(world.clock().wall_now()) + 1000;
    const std::string times =
        R"(,"RepeatCount":2,"StartAtMs":)" + std::to_string(start_ms) + R"(,"IntervalMs":16000)";
    std::set<std::string> noted;
    std::vector<std::string> repeated;
    world.set_event_handler([&](const run_event& event) {
        if (event.run.task.job != job)
            return;
        const std::string task = task_text(event.run.task);
        if (event.what == run_event::kind::noted && event.result == run_state::done)
            noted.insert(task);
        if (event.what == run_event::kind::started && noted.contains(task))
            repeated.push_back(task);
    });
    if (!world.submit(1, job, job_body(tasks, 300, {}, times)))
        return could_not_run;
    if (!world.run_until([&] { return noted.size() == tasks; }, milliseconds{8000}))
        return could_not_run;
    world.run_for(milliseconds{500});
    if (world.trouble())
        world.signal(world.entry(1), SIGTERM);
    bool is_restarted = !world.trouble();
    world.run_until(
        [&] {
            if (!is_restarted && world.has_ended(world.entry(1))) {
                is_restarted = true;
                world.restart(world.entry(1));
            }
            return noted.size() == 2 * tasks;
        },
        milliseconds{24000});
    world.run_for(milliseconds{1500});
    world.note("state of the job: " + world.state_of(job));
    if (!is_restarted || noted.size() < 2 * tasks)
        return could_not_run;
    for (const std::string& task : repeated)
        world.note("BROKEN TWICE: " + task + " started after a run of it had ended done and was noted");
    return repeated.empty() ? rule_held : rule_broken;
}

} // namespace persimmonstile::review
