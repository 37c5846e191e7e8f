#include "cases.h"
#include "coordination/store_keys.h"

#include <algorithm>

namespace persimmonstile::review {

namespace {

bool is_from_first_entry(const std::string& first_bytes) {
    return first_bytes.find("edge-1") != std::string::npos;
}

} // namespace

// The owner of a kept job is partitioned from the store and from the other entries, and another entry adopts
// the job. Then the process of a side machine is killed and started again. Its new process must not take
// orders of the former owner while the new one acts.
int play_stale_owner(site& world) {
    const std::string job = "904cbe65bd8f7a32";
    constexpr std::uint32_t tasks = 6;
    constexpr milliseconds cut_time{5500};
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [&](const std::string&, const start_order& start) {
                          const bool is_long = start.run.task.job == job;
                          return run_plan{milliseconds{is_long ? 15000 : 50}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    std::vector<std::string> doubled;
    world.set_event_handler([&](const run_event& event) {
        if (event.what != run_event::kind::started || event.run.task.job != job)
            return;
        const std::string task = task_text(event.run.task);
        const std::vector<std::string> places = world.running(task);
        // The event is told before or after the run is listed, so other runs of the task count.
        if (places.size() > 1)
            doubled.push_back(task + " at " + places.front() + " and " + places.back());
    });
    if (!world.submit(1, job, job_body(tasks, 15000)))
        return could_not_run;
    const auto count_running = [&] {
        std::size_t running = 0;
        for (std::uint32_t index = 0; index < tasks; ++index)
            running += world.running(job + ".0.0." + std::to_string(index)).empty() ? 0 : 1;
        return running;
    };
    if (!world.run_until([&] { return count_running() == tasks; }, milliseconds{3000}))
        return could_not_run;
    world.run_for(milliseconds{1500});
    std::size_t victim = 0;
    for (std::size_t number = 1; number <= 3; ++number) {
        if (!world.executor_of(number).running().empty())
            victim = number;
    }
    const time_point cut_at = world.clock().now();
    if (world.trouble()) {
        world.note("edge-1 is partitioned from the store and from the other entries");
        world.entry(1).to_store->cut([](const std::string&) { return true; });
        for (const std::size_t number : {std::size_t{2}, std::size_t{3}})
            world.entry(number).to_peer->cut(is_from_first_entry);
        if (!world.run_until([&] { return !world.stored_keys(adopted_prefix).empty(); }, cut_time))
            return could_not_run;
        world.note("another entry has adopted the job");
        world.run_for(milliseconds{100});
        world.signal(world.side(victim), SIGKILL);
        world.run_for(milliseconds{700});
        world.restart(world.side(victim));
    }
    world.run_until([&] { return world.clock().now() >= cut_at + cut_time; }, cut_time);
    if (world.trouble()) {
        world.entry(1).to_store->heal();
        world.entry(2).to_peer->heal();
        world.entry(3).to_peer->heal();
        world.note("the partition has ended");
    }
    std::string state;
    world.run_until(
        [&] {
            world.run_for(milliseconds{500});
            state = world.state_of(job);
            return state == "completed" || state == "failed";
        },
        milliseconds{45000});
    world.note("state of the job: " + state);
    for (const std::string& each : doubled)
        world.note("BROKEN TWICE: two runs at the same time of " + each);
    return doubled.empty() ? rule_held : rule_broken;
}

} // namespace persimmonstile::review
