#include "review/harness-3/cases.h"
#include "review/harness-3/world.h"

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonstile::review {

namespace {

// The size of the deployment in the site file.
constexpr int entries = 3;
constexpr int agents = 11;

// A little less than the longest one of the site file, 3.5 s, because signals are sent on a grid.
constexpr milliseconds freeze{3400};

// The kinds of request of the site file, with their shares of the requests.
struct request_kind {
    int parts_of_200;
    std::uint32_t tasks;
    milliseconds work;
};
constexpr request_kind bale_tally{49, 8, milliseconds{60}};
constexpr request_kind pickup_book{9, 4, milliseconds{900}};
constexpr request_kind credit_check{142, 2, milliseconds{200}};

// The clients hand in 140 jobs a second. The balancer selects the entry by a hash of the client, and six
// tenths of the clients fall to the entry that is frozen. It gets no new connections after two failed checks
// of its readiness, 2 s.
constexpr int jobs_per_second = 84;
constexpr milliseconds new_connections{2000};
constexpr milliseconds patience{1500};
// RetransmitMs: a client sends a job without an answer again after this time.
constexpr milliseconds resend_delay{1300};
constexpr int most_sends = 3;

struct client_job {
    job_id id;
    job_plan plan;
    time_point due{};
    int entry = 0;
    int sends = 0;
    std::shared_ptr<client_answer> sent;
    bool has_ended = false;
};

const request_kind& kind_of(int number) {
    // Spreads the kinds evenly.
    const int part = number * 83 % 200;
    if (part < bale_tally.parts_of_200)
        return bale_tally;
    return part < bale_tally.parts_of_200 + pickup_book.parts_of_200 ? pickup_book : credit_check;
}

std::vector<client_job> make_jobs(time_point first) {
    std::vector<client_job> jobs;
    for (int i = 0; milliseconds{1000 * i / jobs_per_second} < new_connections; ++i) {
        const request_kind& kind = kind_of(i);
        client_job job;
        job.id = "5c0e7a21d94b" + std::to_string(1000 + i);
        job.plan = world::plan_of(kind.tasks, kind.work, false);
        job.due = first + milliseconds{1000 * i / jobs_per_second};
        jobs.push_back(std::move(job));
    }
    return jobs;
}

// Sends a job when it is due, and takes its answer. A job without an answer is sent again to another entry.
void advance(world& site, client_job& job) {
    if (!job.sent && site.now() >= job.due) {
        ++job.sends;
        job.sent = site.submit(job.entry, job.id, job.plan, patience);
        return;
    }
    if (!job.sent || !job.sent->has_arrived)
        return;
    const long status = job.sent->answer.status;
    const bool is_unanswered = status == 0 || status == 502 || status == 504;
    if (is_unanswered && job.sends < most_sends) {
        job.due = job.sent->at + resend_delay;
        job.entry = 1 + job.sends % (entries - 1);
        job.sent.reset();
    } else {
        job.has_ended = true;
    }
}

} // namespace

int play_case_12(const case_options& options) {
    world site{options, entries, agents};
    if (!site.begin())
        return not_run;
    if (options.has_trouble) {
        site.record("edge-0 is stopped by SIGSTOP");
        world::signal(site.entry(0), SIGSTOP);
    }
    const time_point frozen = site.now();
    std::vector<client_job> jobs = make_jobs(frozen);
    bool is_frozen = options.has_trouble;
    const auto have_ended = [&] {
        if (is_frozen && site.now() >= frozen + freeze) {
            site.record("edge-0 goes on after SIGCONT");
            world::signal(site.entry(0), SIGCONT);
            is_frozen = false;
        }
        bool all = true;
        for (client_job& job : jobs) {
            if (!job.has_ended)
                advance(site, job);
            all = all && job.has_ended;
        }
        return all && !is_frozen;
    };
    if (!site.run_until(have_ended, milliseconds{20000}))
        return not_run;
    site.run_for(milliseconds{1000});
    // Without a resent job the case shows nothing.
    if (options.has_trouble &&
        std::none_of(jobs.begin(), jobs.end(), [](const client_job& job) { return job.sends > 1; }))
        return not_run;
    std::size_t broken = 0;
    for (const client_job& job : jobs) {
        for (const std::string& overlap : site.overlaps(job.id)) {
            site.record("TWICE: " + overlap);
            ++broken;
        }
    }
    return broken == 0 ? rule_held : rule_broken;
}

} // namespace persimmonstile::review
