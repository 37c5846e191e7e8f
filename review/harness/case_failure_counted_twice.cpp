#include "cases.h"
#include "coordination/store_keys.h"

#include <variant>

namespace persimmonstile::review {

// The first run of a task fails; the queue allows two attempts. The entry is killed when it has written this
// to the store under a condition, before the answer of the store has reached it.
int play_failure_counted_twice(site& world) {
    const std::string job = "7e2a9c43fb6d5810";
    const std::string task = job + ".0.0.0";
    constexpr int attempts = 2;
    world.start_entries(3);
    world.write_config(attempts);
    world.start_sides({{{"a", "r1-0"}}, {{"a", "r1-0"}}, {{"b", "r1-1"}}},
                      [&](const std::string&, const start_order& start) {
                          if (start.run.task.job != job)
                              return run_plan{milliseconds{50}, run_state::done};
                          if (start.run.run == 1)
                              return run_plan{milliseconds{300}, run_state::failed};
                          return run_plan{milliseconds{9000}, run_state::done};
                      });
    if (!world.wait_until_serving())
        return could_not_run;
    int failed = 0;
    world.set_event_handler([&](const run_event& event) {
        if (task_text(event.run.task) == task && event.what == run_event::kind::ended &&
            event.result == run_state::failed)
            ++failed;
    });
    if (!world.submit(1, job, job_body(1, 300, R"(,"RequiredLabel":"b")")))
        return could_not_run;
    // The entry writes what has become of the task about a second after the failure.
    const auto has_written = [&] {
        for (const std::string& key : world.stored_keys("persimmonstile/o/")) {
            const std::optional<stored_record> record = world.stored(key);
            const auto* open = record ? std::get_if<open_job>(&*record) : nullptr;
            if (key.ends_with(job) && open != nullptr && !open->progress.empty())
                return true;
        }
        return false;
    };
    if (!world.run_until(has_written, milliseconds{6000}))
        return could_not_run;
    world.note("the entry has written to the store under a condition");
    if (world.trouble()) {
        world.signal(world.entry(1), SIGKILL);
        world.run_until([&] { return world.has_ended(world.entry(1)); }, milliseconds{1000});
        world.run_for(milliseconds{600});
        world.restart(world.entry(1));
    }
    std::string state;
    world.run_until(
        [&] {
            world.run_for(milliseconds{300});
            state = world.state_of(job);
            return state == "failed" || state == "completed" || state == "cancelled";
        },
        milliseconds{40000});
    world.note("state of the job: " + state + "; runs that ended failed: " + std::to_string(failed) + " of " +
               std::to_string(attempts) + " attempts");
    if (state == "failed" && failed < attempts) {
        world.note("BROKEN LOST: " + job + " is shown as failed after " + std::to_string(failed) +
                   " failed run of " + std::to_string(attempts) + " attempts");
        return rule_broken;
    }
    return state == "completed" ? rule_held : could_not_run;
}

} // namespace persimmonstile::review
