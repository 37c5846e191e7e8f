#include "review/harness-3/cases.h"
#include "review/harness-3/world.h"

#include <csignal>
#include <string>

#include <nlohmann/json.hpp>

namespace persimmonstile::review {

namespace {

constexpr int entries = 3;
constexpr int executors = 3;

// Each job takes a whole executor for its time, so all but the first ones wait.
constexpr int jobs = 23;
constexpr int waiting_jobs = jobs - executors;
constexpr std::int64_t whole_executor_millicores = 32000;
constexpr milliseconds work{25000};
constexpr milliseconds patience{1500};

// visible_ms and 2 s: jobs that were accepted longer ago have to be counted.
constexpr milliseconds counted_after{5000};

// Less than the longest absence of a killed machine in the site file, 3.5 s, by the time of a question.
constexpr milliseconds absence{3300};
constexpr milliseconds watched_before_kill{1000};
constexpr milliseconds watched_after_kill{6000};
constexpr milliseconds ask_interval{100};

int pending_in(const http_answer& answer) {
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("Pending", -1) : -1;
}

} // namespace

int play_case_14(const case_options& options) {
    world site{options, entries, executors};
    if (!site.begin())
        return not_run;
    for (int i = 0; i < jobs; ++i) {
        job_plan plan = world::plan_of(1, work, true);
        plan.steps.front().task_needs.cpu_millicores = whole_executor_millicores;
        const auto answer = site.submit(0, "5c0e7a21d94b" + std::to_string(1000 + i), plan, patience);
        site.run_until([&] { return answer->has_arrived; }, 2 * patience);
        if (answer->answer.status != 200)
            return not_run;
    }
    site.run_for(counted_after + milliseconds{500});
    const time_point begun = site.now();
    bool is_killed = false;
    bool is_back = false;
    int wrong = 0;
    int answered_while_absent = 0;
    while (site.now() < begun + watched_before_kill + watched_after_kill) {
        const auto since = site.now() - begun;
        if (options.has_trouble && !is_killed && since >= watched_before_kill) {
            site.record("edge-0 is killed");
            world::signal(site.entry(0), SIGKILL);
            is_killed = true;
        }
        if (is_killed && !is_back && since >= watched_before_kill + absence) {
            site.start(site.entry(0));
            is_back = true;
        }
        // An empty id asks for the number of pending jobs.
        const auto answer = site.ask(1, "", patience);
        site.run_until([&] { return answer->has_arrived; }, 2 * patience);
        // Runs that end or begin again can change the number by the number of executors.
        const int pending = pending_in(answer->answer);
        if (pending >= 0 && is_killed && !is_back)
            ++answered_while_absent;
        if (pending >= 0 && 2 * pending < waiting_jobs - executors) {
            site.record("MIXED: edge-1 gives " + std::to_string(pending) + " as Pending, while at least " +
                        std::to_string(waiting_jobs - executors) + " accepted jobs have not begun");
            ++wrong;
        }
        site.run_for(ask_interval);
    }
    if (options.has_trouble && answered_while_absent == 0)
        return not_run;
    return wrong == 0 ? rule_held : rule_broken;
}

} // namespace persimmonstile::review
