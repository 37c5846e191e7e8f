#include "cases.h"

namespace persimmonstile::review {

// The machine that runs a task is cut off from the entries for 1.3 s. Meanwhile the client cancels the job,
// and this is acknowledged. The task must be gone once cancel_ms and StopMs have passed in calm.
int play_cancelled_task(site& world) {
    const std::string job = "8f3bad54ac7e6921";
    const std::string task = job + ".0.0.0";
    constexpr milliseconds cut_time{1300};
    // ContactMs, cancel_ms and StopMs, and a second more.
    constexpr milliseconds allowed{3000 + 3000 + 50 + 1000};
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [&](const std::string&, const start_order& start) {
                          const bool is_long = start.run.task.job == job;
                          return run_plan{milliseconds{is_long ? 30000 : 50}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    if (!world.submit(1, job, job_body(1, 30000, R"(,"RequiredLabel":"b")")))
        return could_not_run;
    if (!world.run_until([&] { return !world.running(task).empty(); }, milliseconds{3000}))
        return could_not_run;
    world.run_for(milliseconds{2000});
    if (world.trouble()) {
        world.note("side-3 is cut off from all entries");
        for (std::size_t number = 1; number <= world.entry_count(); ++number)
            world.entry(number).to_peer->cut([](const std::string& first_bytes) {
                return first_bytes.find("side-3") != std::string::npos;
            });
    }
    const time_point cut_at = world.clock().now();
    world.run_for(cut_time / 2);
    const client_answer cancelled = world.call(1, "DELETE", job, {}, milliseconds{1500});
    const bool is_acknowledged =
        (cancelled.status >= 200 && cancelled.status < 300) || cancelled.status == 410;
    world.run_until([&] { return world.clock().now() >= cut_at + cut_time; }, cut_time);
    if (world.trouble()) {
        for (std::size_t number = 1; number <= world.entry_count(); ++number)
            world.entry(number).to_peer->heal();
        world.note("the cut has ended");
    }
    if (!is_acknowledged)
        return could_not_run;
    world.run_for(allowed);
    const std::vector<std::string> places = world.running(task);
    const std::string state = world.state_of(job);
    world.note("state of the job: " + state);
    if (places.empty())
        return rule_held;
    world.run_for(milliseconds{8000});
    world.note("8 s later the task " + std::string{world.running(task).empty() ? "is gone" : "still runs"});
    world.note("BROKEN UNASKED: " + task + " runs on at " + places.front() +
               " more than 7 s after the cut, though its cancelling was acknowledged");
    return rule_broken;
}

} // namespace persimmonstile::review
