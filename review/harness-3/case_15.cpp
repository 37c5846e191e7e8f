#include "review/harness-3/cases.h"
#include "review/harness-3/world.h"

#include <string>
#include <vector>

namespace persimmonstile::review {

namespace {

const job_id job = "5c0e7a21d94b36f8";

constexpr std::uint32_t tasks = 4;
constexpr milliseconds work{300};
constexpr milliseconds patience{1500};
// finish_s: jobs are asked for this long after the end of the traffic.
constexpr milliseconds finish{14000};

// The store answers in 4 ms, and 60 times as slowly for a little less than 4.5 s.
constexpr milliseconds store_delay{4};
constexpr milliseconds slow_store_delay{240};
constexpr milliseconds slow_time{4400};

} // namespace

int play_case_15(const case_options& options) {
    world site{options, 2, 3};
    if (!site.begin())
        return not_run;
    site.store().set_faults({false, store_delay, 0, 0});
    const auto submitted = site.submit(0, job, world::plan_of(tasks, work, true), patience);
    site.run_until([&] { return submitted->has_arrived; }, 2 * patience);
    if (submitted->answer.status != 200)
        return not_run;
    site.run_for(finish);
    const auto before = site.ask(1, job, patience);
    site.run_until([&] { return before->has_arrived; }, 2 * patience);
    if (state_in(before->answer) != job_state::completed)
        return not_run;
    if (options.has_trouble) {
        site.record("the store answers 60 times as slowly");
        site.store().set_faults({false, slow_store_delay, 0, 0});
    }
    const time_point slowed = site.now();
    std::vector<std::shared_ptr<client_answer>> answers;
    // The client asks as long as a question can end while the store is slow.
    while (site.now() + patience <= slowed + slow_time) {
        answers.push_back(site.ask(1, job, patience));
        site.run_until([&] { return answers.back()->has_arrived; }, 2 * patience);
        site.run_for(milliseconds{100});
    }
    site.run_until([&] { return site.now() >= slowed + slow_time; }, slow_time);
    if (options.has_trouble) {
        site.record("the store is as fast as before");
        site.store().set_faults({false, store_delay, 0, 0});
    }
    site.run_for(milliseconds{1000});
    const auto after = site.ask(1, job, patience);
    site.run_until([&] { return after->has_arrived; }, 2 * patience);
    bool is_broken = false;
    for (const auto& answer : answers) {
        if (!state_in(answer->answer)) {
            site.record(
                "LOST: an accepted job that has ended is asked for, and its state is not told in time");
            is_broken = true;
        }
    }
    return is_broken ? rule_broken : rule_held;
}

} // namespace persimmonstile::review
