#include "standins/order_backend.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

constexpr milliseconds longest_lease{1000};
constexpr milliseconds usual_work{100};
constexpr std::size_t longest_end_list = 500;

} // namespace

order_backend::order_backend(backend_profile profile)
    : profile_{std::move(profile)} {}

std::int64_t order_backend::clock_at(time_point now) const {
    return std::chrono::duration_cast<milliseconds>(now - born_).count() + 1;
}

milliseconds order_backend::work_of(const task_ref& task) const {
    const auto found = work_.find(task);
    return found == work_.end() ? usual_work : found->second;
}

void order_backend::extend_lease(std::int64_t until_ms, time_point now) {
    const std::int64_t longest = clock_at(now) + longest_lease.count();
    lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, longest));
    has_lease_ = true;
}

bool order_backend::is_failing(const run_ref& run) const {
    const auto found = failing_runs_.find(run.task);
    return failing_.contains(run.task) || (found != failing_runs_.end() && found->second(run.run));
}

void order_backend::end(const run_ref& run, run_state final_state, time_point now) {
    active_.erase(run);
    run_number& highest = highest_[run.task];
    highest = std::max(highest, run.run);
    ends_.push_back({++last_end_, run, final_state, {}});
    events_.push_back({event::kind::ended, run, final_state, now, last_end_});
}

void order_backend::advance(time_point now) {
    std::vector<std::pair<run_ref, run_state>> ended;
    for (auto& [run, state] : active_) {
        if (!hangs_)
            state.done += std::chrono::duration<double, std::milli>{now - state.updated}.count() / slowness_;
        state.updated = now;
        if (state.done >= static_cast<double>(work_of(run.task).count()))
            ended.emplace_back(run, is_failing(run) ? run_state::failed : run_state::done);
    }
    for (const auto& [run, final_state] : ended)
        end(run, final_state, now);
    if (clock_at(now) > lease_until_ms_ && has_lease_) {
        has_lease_ = false;
        last_end_before_lapse_ = last_end_;
        const std::map<run_ref, active_run> lapsed = active_;
        for (const auto& [run, state] : lapsed)
            end(run, run_state::lapsed, now);
    }
}

void order_backend::crash(time_point now) {
    for (const auto& [run, state] : active_)
        events_.push_back({event::kind::ended, run, run_state::lapsed, now});
    active_.clear();
    ends_.clear();
    highest_.clear();
    born_ = now;
    ++profile_.life;
    token_ = 0;
    lease_until_ms_ = 0;
    last_end_ = 0;
    last_end_before_lapse_ = 0;
    acknowledged_ = 0;
    sequence_ = 0;
}

void order_backend::set_identity(const std::string& id, std::uint64_t life) {
    profile_.id = id;
    profile_.life = life;
    profile_.draining = false;
}

backend_reply order_backend::carry_out(const backend_order& order, time_point now) {
    advance(now);
    backend_reply reply;
    reply.id = order.id;
    if (order.fencing_token < token_) {
        reply.verdict = backend_verdict::fenced;
    } else {
        token_ = order.fencing_token;
        if (const auto* action = std::get_if<start_order>(&order.action))
            reply = start(order, *action, now);
        else if (const auto* stopped = std::get_if<stop_order>(&order.action))
            reply = stop(order, *stopped, now);
        else
            reply = hold(order, std::get<hold_order>(order.action), now);
    }
    reply.id = order.id;
    reply.clock_ms = clock_at(now);
    reply.life = profile_.life;
    return reply;
}

backend_reply order_backend::start(const backend_order& order, const start_order& action, time_point now) {
    backend_reply reply;
    const auto highest = highest_.find(action.run.task);
    if (order.lease_until_ms < clock_at(now)) {
        reply.verdict = backend_verdict::late;
        return reply;
    }
    extend_lease(order.lease_until_ms, now);
    if (active_.contains(action.run)) {
        reply.verdict = backend_verdict::accepted;
        return reply;
    }
    if (highest != highest_.end() && action.run.run <= highest->second) {
        reply.verdict = backend_verdict::old_run;
        return reply;
    }
    active_[action.run] = {now, 0, now};
    events_.push_back({event::kind::started, action.run, run_state::running, now});
    reply.verdict = backend_verdict::accepted;
    return reply;
}

backend_reply order_backend::stop(const backend_order&, const stop_order& action, time_point now) {
    if (active_.contains(action.run))
        end(action.run, run_state::stopped, now);
    run_number& highest = highest_[action.run.task];
    highest = std::max(highest, action.run.run);
    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    return reply;
}

backend_reply order_backend::hold(const backend_order& order, const hold_order& action, time_point now) {
    acknowledged_ = std::max(acknowledged_, action.acknowledged_end);
    while (!ends_.empty() && ends_.front().number <= acknowledged_) {
        const listed_end& known = ends_.front();
        if (known.number > last_end_before_lapse_)
            events_.push_back({event::kind::noted, known.run, known.final_state, now, known.number});
        ends_.pop_front();
    }
    if (action.renews)
        extend_lease(order.lease_until_ms, now);
    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    for (const auto& [run, state] : active_) {
        const double part = state.done / static_cast<double>(work_of(run.task).count());
        reply.running.push_back({run, {}, static_cast<std::uint32_t>(100 * std::min(1.0, part))});
    }
    for (const listed_end& ended : ends_) {
        if (reply.ended.size() == longest_end_list)
            break;
        reply.ended.push_back(ended);
    }
    return reply;
}

bool order_backend::has_news(std::uint64_t acknowledged) const {
    return !ends_.empty() && ends_.back().number > acknowledged;
}

backend_announcement order_backend::announce(time_point now) {
    return {profile_, ++sequence_, clock_at(now)};
}

std::vector<order_backend::event> order_backend::take_events() {
    return std::exchange(events_, {});
}

std::vector<run_ref> order_backend::running() const {
    std::vector<run_ref> runs;
    for (const auto& [run, state] : active_)
        runs.push_back(run);
    return runs;
}

} // namespace persimmonstile
