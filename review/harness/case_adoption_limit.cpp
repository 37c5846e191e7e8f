#include "cases.h"

#include <algorithm>

namespace persimmonstile::review {

// Rolling restarts of the three entries, one entry after the other. Each process accepts a kept job that is
// due later. When the jobs are due, each must run.
int play_adoption_limit(site& world) {
    constexpr int restarts = 16;
    constexpr std::int64_t due_after_ms = 78000;
    constexpr milliseconds finish{14000};
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [](const std::string&, const start_order&) {
                          return run_plan{milliseconds{50}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    const std::int64_t due_ms = unix_time_ms(world.clock().wall_now()) + due_after_ms;
    const std::string times = R"(,"RepeatCount":1,"IntervalMs":1000,"StartAtMs":)" + std::to_string(due_ms);
    std::vector<std::string> jobs;
    std::set<std::string> ended;
    world.set_event_handler([&](const run_event& event) {
        if (event.what == run_event::kind::ended && event.result == run_state::done)
            ended.insert(event.run.task.job);
    });
    for (int number = 0; number < restarts; ++number) {
        const std::size_t entry = 1 + static_cast<std::size_t>(number) % world.entry_count();
        const std::string job = "c37fe198e02bad" + std::to_string(10 + number);
        if (!world.submit(entry, job, job_body(1, 50, {}, times)))
            return could_not_run;
        jobs.push_back(job);
        world.run_for(milliseconds{100});
        if (!world.trouble())
            continue;
        world.signal(world.entry(entry), SIGTERM);
        // GraceS
        if (!world.run_until([&] { return world.has_ended(world.entry(entry)); }, milliseconds{6000}))
            return could_not_run;
        world.run_for(milliseconds{200});
        world.restart(world.entry(entry));
        world.run_for(milliseconds{600});
    }
    world.note("jobs accepted: " + std::to_string(jobs.size()));
    if (unix_time_ms(world.clock().wall_now()) > due_ms)
        return could_not_run;
    world.run_until([&] { return unix_time_ms(world.clock().wall_now()) > due_ms; }, milliseconds{80000});
    world.run_until(
        [&] {
            return std::all_of(jobs.begin(), jobs.end(),
                               [&](const std::string& job) { return ended.contains(job); });
        },
        finish);
    int lost = 0;
    for (const std::string& job : jobs) {
        if (ended.contains(job))
            continue;
        ++lost;
        world.note("BROKEN LOST: " + job +
                   " is accepted and due for 14 s, the executors are free, and it has not run");
    }
    world.note("writes refused for too many entries: " + std::to_string(world.refused_writes()));
    const std::string state = world.state_of(jobs.back());
    world.note("state of the last job: " + (state.empty() ? "no answer" : state));
    return lost > 0 ? rule_broken : rule_held;
}

} // namespace persimmonstile::review
