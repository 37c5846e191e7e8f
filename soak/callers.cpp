#include "soak/callers.h"

#include "standins/caller_wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace persimmonstile::soak {

namespace {

// A kind of job of the users: how many of all jobs, tasks, and work of a task.
struct job_kind {
    const char* queue;
    double part;
    double mean_tasks;
    double mean_work_ms;
};
constexpr std::array kinds{job_kind{"short", 0.245, 8, 60}, job_kind{"long", 0.045, 4, 900},
                           job_kind{"common", 0.71, 2, 200}};

constexpr std::int64_t task_millicores = 3100;
constexpr std::int64_t task_memory_mb = 64;
constexpr double work_spread = 0.4;

// Callers give up after this much more than three times their objective.
constexpr milliseconds extra_patience{1500};
constexpr milliseconds shortest_patience{2000};
// A broken connection is no reason to send a job again at once: the users wait as long.
constexpr milliseconds resend_pause{1300};
constexpr milliseconds ask_interval{300};
constexpr milliseconds ask_patience{1500};
constexpr int most_tries = 4;

constexpr milliseconds readiness_interval{1000};
constexpr int most_misses = 2;
constexpr std::size_t connections_per_entry = 200;
constexpr std::size_t probe_connections = 16;

// Tasks of one job differ by a few percent, in a way that only the payload and their number decide.
constexpr double unevenness = 0.05;

} // namespace

callers::callers(asio::io_context& context, const soak_options& options, const clock_source& clock,
                 const deployment_config& config, std::vector<target> targets, promise_check& check)
    : context_{context}
    , options_{options}
    , clock_{clock}
    , config_{config}
    , check_{check}
    , random_{options.seed}
    , arrivals_{context}
    , readiness_{context}
    , probe_client_{context, probe_connections} {
    for (target& addresses : targets) {
        entry_state state;
        state.addresses = std::move(addresses);
        state.client = std::make_unique<http_client>(context_, connections_per_entry);
        entries_.push_back(std::move(state));
    }
}

std::vector<job_id> callers::open_jobs() const {
    std::vector<job_id> ids;
    for (const auto& [id, job] : open_)
        ids.push_back(id);
    return ids;
}

milliseconds callers::work_in(const std::string& payload, task_index index) {
    std::int64_t work_ms = 100;
    std::from_chars(payload.data(), payload.data() + payload.size(), work_ms);
    const double factor = 1 + unevenness * static_cast<double>(index % 3);
    return milliseconds{std::max<std::int64_t>(1, std::llround(factor * static_cast<double>(work_ms)))};
}

void callers::start() {
    check_readiness();
    schedule_next();
}

void callers::after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](asio::error_code error) {
        if (!error)
            action();
    });
}

void callers::schedule_next() {
    const double pause = std::exponential_distribution<double>{options_.jobs_per_second}(random_);
    arrivals_.expires_after(
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>{pause}));
    arrivals_.async_wait([this](asio::error_code error) {
        if (error || !is_submitting_)
            return;
        hand_in();
        schedule_next();
    });
}

job_id callers::make_id() {
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t number = random_();
    job_id id;
    for (int i = 0; i < 16; ++i, number >>= 4U)
        id.push_back(digits[number & 15U]);
    return id;
}

void callers::hand_in() {
    std::uniform_real_distribution<double> chance{0, 1};
    std::lognormal_distribution<double> around{-work_spread * work_spread / 2, work_spread};
    double picked = chance(random_);
    const job_kind* kind = &kinds.back();
    for (const job_kind& candidate : kinds) {
        if (picked < candidate.part) {
            kind = &candidate;
            break;
        }
        picked -= candidate.part;
    }
    open_job job;
    for (const queue_policy& queue : config_.queues) {
        if (queue.name == kind->queue)
            job.queue = queue;
    }
    const auto work = std::max<std::int64_t>(1, std::llround(kind->mean_work_ms * around(random_)));
    job.plan.payload = std::to_string(work);
    job.plan.is_durable = chance(random_) < options_.kept;
    job_step step;
    step.task_count = static_cast<std::uint32_t>(
        std::max<std::int64_t>(1, std::llround(kind->mean_tasks * around(random_))));
    step.task_needs = {task_millicores, task_memory_mb, 0};
    step.estimate_ms = std::max<std::int64_t>(1, std::llround(static_cast<double>(work) * around(random_)));
    job.plan.steps.push_back(step);
    // Some kept jobs have a second step that waits for the first one.
    if (job.plan.is_durable && chance(random_) < options_.kept) {
        step.task_count = 1;
        step.after = {0};
        job.plan.steps.push_back(step);
    }
    job.begun = clock_.now();
    job.is_calm = is_calm_;
    job.is_to_be_cancelled = job.plan.is_durable && chance(random_) < options_.cancelled;
    const job_id id = make_id();
    check_.submitted(id, job.plan, job.queue.max_attempts);
    ++totals_.jobs;
    totals_.calm_jobs += job.is_calm ? 1 : 0;
    open_[id] = std::move(job);
    submit(id);
}

// As the balancer does it: entries that are not ready get no new connections, unless none is.
callers::entry_state& callers::pick_entry() {
    std::vector<entry_state*> ready;
    for (entry_state& entry : entries_) {
        if (entry.misses < most_misses)
            ready.push_back(&entry);
    }
    if (ready.empty())
        return entries_[std::uniform_int_distribution<std::size_t>{0, entries_.size() - 1}(random_)];
    return *ready[std::uniform_int_distribution<std::size_t>{0, ready.size() - 1}(random_)];
}

void callers::check_readiness() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        http_client_request request;
        request.url = "http://" + entries_[i].addresses.ready_address + "/ready";
        request.timeout = readiness_interval;
        probe_client_.send(request, [this, i](const http_answer& answer) {
            entries_[i].misses = answer.status == 200 ? 0 : entries_[i].misses + 1;
        });
    }
    readiness_.expires_after(readiness_interval);
    readiness_.async_wait([this](asio::error_code error) {
        if (!error)
            check_readiness();
    });
}

void callers::submit(const job_id& job) {
    open_job& state = open_[job];
    ++state.tries;
    const milliseconds patience =
        std::max(shortest_patience, 3 * std::chrono::duration_cast<milliseconds>(
                                            state.queue.max_stretch * state.plan.steps.front().estimate()) +
                                        extra_patience);
    entry_state& entry = pick_entry();
    entry.client->send(submit_request(entry.addresses.front_address, state.queue, job, state.plan, patience),
                       [this, job](const http_answer& answer) { submit_answered(job, answer); });
}

void callers::submit_answered(const job_id& job, const http_answer& answer) {
    const auto found = open_.find(job);
    if (found == open_.end())
        return;
    open_job& state = found->second;
    if (answer.status == 200) {
        check_.accepted(job);
        state.was_accepted = true;
        if (!state.plan.is_durable) {
            end(job, state_in(answer).value_or(job_state::unknown));
            return;
        }
        if (state.is_to_be_cancelled)
            after(ask_interval, [this, job] { cancel(job); });
        else
            after(ask_interval, [this, job] { ask(job); });
        return;
    }
    const bool is_refused = answer.status == 429 || answer.status == 503;
    if (is_refused) {
        check_.refused(job);
        ++totals_.refused;
    } else {
        check_.unanswered(job);
        ++totals_.unanswered;
    }
    // A job that may have been accepted is asked for until it is known.
    if (state.tries >= most_tries && (is_refused || !state.plan.is_durable)) {
        open_.erase(found);
        return;
    }
    after(resend_pause, [this, job] { submit(job); });
}

void callers::ask(const job_id& job) {
    const auto found = open_.find(job);
    if (found == open_.end())
        return;
    entry_state& entry = pick_entry();
    entry.client->send(state_request(entry.addresses.front_address, found->second.queue, job, ask_patience),
                       [this, job](const http_answer& answer) { ask_answered(job, answer); });
}

void callers::ask_answered(const job_id& job, const http_answer& answer) {
    if (!open_.contains(job))
        return;
    if (answer.status == 410)
        check_.unknown(job, clock_.now());
    const std::optional<job_state> state = state_in(answer);
    if (state && is_final(*state)) {
        end(job, *state);
        return;
    }
    if (state)
        check_.shown(job, *state, clock_.now());
    after(ask_interval, [this, job] { ask(job); });
}

void callers::cancel(const job_id& job) {
    const auto found = open_.find(job);
    if (found == open_.end())
        return;
    entry_state& entry = pick_entry();
    entry.client->send(cancel_request(entry.addresses.front_address, found->second.queue, job, ask_patience),
                       [this, job](const http_answer& answer) {
                           if (answer.status == 200 || answer.status == 410)
                               check_.cancelled(job, clock_.now());
                           else
                               check_.cancel_sent(job);
                           after(ask_interval, [this, job] { ask(job); });
                       });
}

void callers::end(const job_id& job, job_state state) {
    const time_point now = clock_.now();
    const open_job& ended = open_[job];
    check_.shown(job, state, now);
    if (state == job_state::completed) {
        ++totals_.completed;
        totals_.calm_completed += ended.is_calm ? 1 : 0;
        totals_.response_times.push_back(std::chrono::duration_cast<milliseconds>(now - ended.begun));
    } else if (state == job_state::cancelled) {
        ++totals_.cancelled;
    } else {
        ++totals_.failed;
    }
    open_.erase(job);
}

} // namespace persimmonstile::soak
