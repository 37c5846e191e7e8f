#include "cases.h"

namespace persimmonstile::review {

// A zone is partitioned from the others; all machines still reach the store. A task of a kept job ends done
// in another zone than that of its entry while the partition lasts. No run of it may start afterwards.
int play_done_task_again(site& world) {
    const std::string job = "b26ed087df1a9c54";
    const std::string other_job = "1b26ed087df1a9c5";
    constexpr std::size_t tasks = 6;
    constexpr milliseconds work{2200};
    // for_s of the site file.
    constexpr milliseconds cut_time{5500};
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [&](const std::string&, const start_order& start) {
                          if (start.run.task.job == job)
                              return run_plan{work, run_state::done};
                          const bool is_other = start.run.task.job == other_job;
                          return run_plan{milliseconds{is_other ? 30000 : 50}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    // Work of another entry keeps the executors of the other zones under their leases.
    if (!world.submit(2, other_job, job_body(3, 30000, R"(,"AntiAffinity":1)")))
        return could_not_run;
    std::set<std::string> done;
    std::set<std::string> noted;
    std::set<std::string> started_after_end;
    std::size_t started = 0;
    world.set_event_handler([&](const run_event& event) {
        if (event.run.task.job != job)
            return;
        const std::string task = task_text(event.run.task);
        if (event.what == run_event::kind::started) {
            ++started;
            if (done.contains(task))
                started_after_end.insert(task);
        } else if (event.result == run_state::done) {
            (event.what == run_event::kind::ended ? done : noted).insert(task);
        }
    });
    if (!world.submit(1, job, job_body(tasks, static_cast<int>(work.count()), R"(,"AntiAffinity":2)")))
        return could_not_run;
    if (!world.run_until([&] { return started == tasks; }, milliseconds{3000}))
        return could_not_run;
    world.run_for(milliseconds{1000});
    const time_point cut_at = world.clock().now();
    if (world.trouble()) {
        world.note("the zone of edge-1 and side-1 is partitioned from the others");
        world.entry(1).to_peer->cut(
            [](const std::string& first_bytes) { return first_bytes.find("side-1") == std::string::npos; });
        for (const std::size_t number : {std::size_t{2}, std::size_t{3}})
            world.entry(number).to_peer->cut([](const std::string& first_bytes) {
                return first_bytes.find("edge-1") != std::string::npos ||
                       first_bytes.find("side-1") != std::string::npos;
            });
    }
    world.run_until([&] { return world.clock().now() >= cut_at + cut_time; }, cut_time);
    if (world.trouble()) {
        for (std::size_t number = 1; number <= 3; ++number)
            world.entry(number).to_peer->heal();
        world.note("the partition has ended");
    }
    world.run_until([&] { return noted.size() == tasks; }, milliseconds{14000});
    world.run_for(milliseconds{3000});
    world.note("state of the job: " + world.state_of(job));
    bool is_broken = false;
    for (const std::string& task : started_after_end) {
        if (!noted.contains(task))
            continue;
        is_broken = true;
        world.note("BROKEN TWICE: a run of " + task +
                   " started after another had ended done; this end was noted");
    }
    if (is_broken)
        return rule_broken;
    return noted.size() == tasks ? rule_held : could_not_run;
}

} // namespace persimmonstile::review
