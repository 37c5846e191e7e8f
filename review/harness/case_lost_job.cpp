#include "cases.h"

#include <algorithm>

namespace persimmonstile::review {

namespace {

constexpr int tasks = 3;

bool is_at_work(const site& world, const std::string& job) {
    for (int index = 0; index < tasks; ++index) {
        if (!world.running(job + ".0.0." + std::to_string(index)).empty())
            return true;
    }
    return false;
}

// Hands in jobs that need not be kept, 40 a second, and returns the share that is completed in time.
double served_share(site& world, const std::string& prefix, int count) {
    constexpr milliseconds pause{25};
    constexpr milliseconds deadline{1500};
    std::vector<std::shared_ptr<client_answer>> answers;
    for (int number = 0; number < count; ++number) {
        const std::size_t entry = 1 + static_cast<std::size_t>(number) % world.entry_count();
        const std::string id = prefix + std::to_string(100000 + number);
        answers.push_back(world.send(entry, "POST", id, short_job_body(8, 20), deadline));
        world.run_for(pause);
    }
    world.run_for(deadline + milliseconds{200});
    const auto served = std::count_if(answers.begin(), answers.end(), [](const auto& answer) {
        return answer->status == 200 && answer->body.find("completed") != std::string::npos;
    });
    return static_cast<double>(served) / count;
}

} // namespace

// Two entries are stopped and started in turn while the store is slow. The first hands a kept job over; the
// second has none of its own. Afterwards the job must be at work or have ended. What the loss does to other
// callers is recorded too, but not judged.
int play_lost_job(site& world) {
    const std::string job = "6d1f8b32ea5c4709";
    // gap_s, x and for_s of the site file.
    constexpr milliseconds gap{1300};
    constexpr milliseconds slow_answer{240};
    constexpr milliseconds slow_time{4500};
    // finish_s, and the time without work that the rule allows.
    constexpr milliseconds finish{14000};
    constexpr milliseconds idle_allowed{3000};
    world.start_entries(3);
    world.write_config(3);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [&](const std::string&, const start_order& start) {
                          const bool is_long = start.run.task.job == job;
                          return run_plan{milliseconds{is_long ? 12000 : 20}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    if (!world.submit(2, job, job_body(tasks, 12000, R"(,"AntiAffinity":1)")))
        return could_not_run;
    if (!world.run_until([&] { return is_at_work(world, job); }, milliseconds{3000}))
        return could_not_run;
    world.run_for(milliseconds{1000});

    struct step {
        milliseconds at;
        std::function<void()> action;
    };
    std::vector<step> steps;
    if (world.trouble()) {
        world.note("the store turns slow");
        world.set_store_delay(slow_answer);
        steps.push_back({milliseconds{300}, [&] {
                             world.signal(world.entry(2), SIGTERM);
                         }});
        steps.push_back({milliseconds{300} + gap, [&] {
                             world.signal(world.entry(1), SIGTERM);
                         }});
        steps.push_back({slow_time, [&] {
                             world.note("the store is sound again");
                             world.set_store_delay(milliseconds{4});
                         }});
    }
    const time_point begun = world.clock().now();
    std::set<std::size_t> restarted;
    std::size_t next = 0;
    const auto play = [&] {
        if (next < steps.size() && world.clock().now() - begun >= steps[next].at)
            steps[next++].action();
        for (const std::size_t number : {std::size_t{1}, std::size_t{2}}) {
            if (world.has_ended(world.entry(number)) && restarted.insert(number).second)
                world.restart(world.entry(number));
        }
        return false;
    };
    world.run_until(play, milliseconds{12000});
    if (world.trouble() && restarted.size() != 2)
        return could_not_run;
    world.run_for(finish);
    // From here on the job must be at work at least once in any 3 s, or be completed.
    std::string state = world.state_of(job);
    const bool was_at_work = state == "completed" || world.run_until([&] { return is_at_work(world, job); },
                                                                     idle_allowed + milliseconds{2000});
    state = world.state_of(job);
    for (const std::string& key : world.stored_keys("persimmonstile/"))
        world.note("in the store: " + key);
    world.note("state of the job: " + state);
    // The runs of the lost job have ended, but nobody can record this, so LastSeen never passes these ends.
    const int percent = 100;
    const double first = served_share(world, "d00000000a", 200);
    const double later = served_share(world, "d00000000b", 400);
    const double last = served_share(world, "d00000000c", 200);
    world.note("share of other jobs that are served: " + std::to_string(static_cast<int>(first * percent)) +
               "%, then " + std::to_string(static_cast<int>(later * percent)) + "%, then " +
               std::to_string(static_cast<int>(last * percent)) + '%');
    if (was_at_work)
        return rule_held;
    world.note("BROKEN LOST: " + job + " is accepted and shown as " + state +
               ", has nothing running for 5 s, and all executors are free");
    return rule_broken;
}

} // namespace persimmonstile::review
