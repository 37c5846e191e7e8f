#include "executor.h"

#include "standins/order_wire.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace persimmonstile::review {

namespace {

// HoldMaxMs and HeartbeatMs of a small deployment.
constexpr milliseconds longest_lease{1000};
constexpr milliseconds report_interval{1500};
constexpr milliseconds report_timeout{1000};
constexpr milliseconds step_interval{5};
constexpr std::size_t longest_end_list = 500;

http_limits server_limits() {
    http_limits limits;
    limits.max_body_bytes = std::size_t{1024} * 1024;
    limits.read_timeout = std::chrono::seconds{60};
    limits.kept_headers = {"Target-Instance"};
    return limits;
}

} // namespace

executor::executor(asio::io_context& context, const clock_source& clock, std::string address,
                   std::string agent_address, backend_profile profile, planner plan, event_handler on_event)
    : context_{context}
    , clock_{clock}
    , address_{std::move(address)}
    , agent_address_{std::move(agent_address)}
    , profile_{std::move(profile)}
    , plan_{std::move(plan)}
    , on_event_{std::move(on_event)}
    , step_timer_{context}
    , report_timer_{context}
    , client_{context, 4}
    , server_{context, address_, server_limits(),
              [this](const http_request& request, const http_responder& respond) {
                  handle(request, respond);
              }} {
    begin_life();
    step();
    schedule_report();
}

void executor::begin_life() {
    profile_.life = static_cast<std::uint64_t>(unix_time_ms(clock_.wall_now()));
    profile_.kind = profile_.labels.at(0);
    profile_.rack = profile_.labels.at(1);
    born_ = clock_.now();
    is_dark_ = false;
}

std::int64_t executor::clock_ms() const {
    return std::chrono::duration_cast<milliseconds>(clock_.now() - born_).count() + 1;
}

void executor::crash(milliseconds away, std::vector<std::string> next_labels) {
    const std::map<run_ref, active_run> lost = std::exchange(active_, {});
    for (const auto& [run, state] : lost)
        on_event_({run_event::kind::ended, profile_.id, run, run_state::lapsed, clock_.now()});
    holds_.clear();
    ends_.clear();
    highest_.clear();
    sequence_ = 0;
    token_ = 0;
    lease_until_ms_ = 0;
    has_lease_ = false;
    last_end_ = 0;
    last_end_before_lapse_ = 0;
    is_dark_ = true;
    auto timer = std::make_shared<asio::steady_timer>(context_, away);
    timer->async_wait([this, timer, labels = std::move(next_labels)](asio::error_code error) {
        if (error)
            return;
        profile_.labels = labels;
        begin_life();
        report();
    });
}

void executor::handle(const http_request& request, const http_responder& respond) {
    if (is_dark_)
        return;
    advance();
    const std::optional<backend_order> order = decode_order_request(request);
    const std::string& intended = request.header("Target-Instance");
    if (!order) {
        respond({400, "application/json", {}, "{}"});
        return;
    }
    if (!intended.empty() && intended != profile_.id) {
        respond({421, "application/json", {}, "{}"});
        return;
    }
    if (const auto* action = std::get_if<start_order>(&order->action); action != nullptr && filter_) {
        if (!filter_(*action) || is_dark_)
            return;
    }
    const backend_reply reply = carry_out(*order);
    const auto* waiting = std::get_if<hold_order>(&order->action);
    const bool waits = waiting != nullptr && waiting->wait.count() > 0 &&
                       reply.verdict == backend_verdict::accepted && !has_news(waiting->acknowledged_end);
    if (waits)
        holds_.push_back({waiting->acknowledged_end, clock_.now() + waiting->wait, respond});
    else
        respond(encode_order_reply(reply));
    answer_holds();
}

backend_reply executor::carry_out(const backend_order& order) {
    backend_reply reply;
    if (order.fencing_token < token_) {
        reply.verdict = backend_verdict::fenced;
    } else {
        token_ = order.fencing_token;
        reply.verdict = backend_verdict::accepted;
        if (const auto* started = std::get_if<start_order>(&order.action)) {
            reply = start(order, *started);
        } else if (const auto* stopped = std::get_if<stop_order>(&order.action)) {
            stop(*stopped);
        } else {
            hold(order, std::get<hold_order>(order.action));
            reply = lists();
        }
    }
    reply.id = order.id;
    reply.clock_ms = clock_ms();
    reply.life = profile_.life;
    return reply;
}

backend_reply executor::start(const backend_order& order, const start_order& action) {
    backend_reply reply;
    if (order.lease_until_ms < clock_ms()) {
        reply.verdict = backend_verdict::late;
        return reply;
    }
    extend_lease(order.lease_until_ms);
    if (active_.contains(action.run)) {
        reply.verdict = backend_verdict::accepted;
        return reply;
    }
    const auto highest = highest_.find(action.run.task);
    if (highest != highest_.end() && action.run.run <= highest->second) {
        reply.verdict = backend_verdict::old_run;
        return reply;
    }
    active_[action.run] = {clock_.now(), plan_(profile_.id, action)};
    on_event_({run_event::kind::started, profile_.id, action.run, run_state::running, clock_.now()});
    reply.verdict = backend_verdict::accepted;
    return reply;
}

void executor::stop(const stop_order& action) {
    if (active_.contains(action.run))
        end(action.run, run_state::stopped);
    run_number& highest = highest_[action.run.task];
    highest = std::max(highest, action.run.run);
}

void executor::hold(const backend_order& order, const hold_order& action) {
    while (!ends_.empty() && ends_.front().number <= action.acknowledged_end) {
        const listed_end& known = ends_.front();
        if (known.number > last_end_before_lapse_)
            on_event_({run_event::kind::noted, profile_.id, known.run, known.final_state, clock_.now()});
        ends_.pop_front();
    }
    if (action.renews)
        extend_lease(order.lease_until_ms);
}

void executor::extend_lease(std::int64_t until_ms) {
    lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, clock_ms() + longest_lease.count()));
    has_lease_ = true;
}

void executor::end(const run_ref& run, run_state result) {
    active_.erase(run);
    run_number& highest = highest_[run.task];
    highest = std::max(highest, run.run);
    ends_.push_back({++last_end_, run, result, {}});
    on_event_({run_event::kind::ended, profile_.id, run, result, clock_.now()});
}

void executor::advance() {
    const time_point now = clock_.now();
    std::vector<std::pair<run_ref, run_state>> ended;
    for (const auto& [run, state] : active_) {
        if (now >= state.begun + state.plan.work)
            ended.emplace_back(run, state.plan.result);
    }
    for (const auto& [run, result] : ended)
        end(run, result);
    if (has_lease_ && clock_ms() > lease_until_ms_) {
        has_lease_ = false;
        last_end_before_lapse_ = last_end_;
        for (const run_ref& run : running())
            end(run, run_state::lapsed);
    }
}

std::vector<run_ref> executor::running() const {
    std::vector<run_ref> runs;
    for (const auto& [run, state] : active_)
        runs.push_back(run);
    return runs;
}

backend_reply executor::lists() const {
    constexpr double whole = 100;
    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    for (const auto& [run, state] : active_) {
        const std::chrono::duration<double> done = clock_.now() - state.begun;
        const double part = done / std::chrono::duration<double>{state.plan.work};
        reply.running.push_back({run, {}, static_cast<std::uint32_t>(whole * std::min(1.0, part))});
    }
    for (const listed_end& ended : ends_) {
        if (reply.ended.size() == longest_end_list)
            break;
        reply.ended.push_back(ended);
    }
    return reply;
}

bool executor::has_news(std::uint64_t last_seen) const {
    return !ends_.empty() && ends_.back().number > last_seen;
}

void executor::answer_holds() {
    const time_point now = clock_.now();
    for (auto it = holds_.begin(); it != holds_.end();) {
        if (!has_news(it->last_seen) && now < it->until) {
            ++it;
            continue;
        }
        const http_responder respond = std::move(it->respond);
        it = holds_.erase(it);
        backend_reply reply = lists();
        reply.clock_ms = clock_ms();
        reply.life = profile_.life;
        respond(encode_order_reply(reply));
    }
}

void executor::step() {
    step_timer_.expires_after(step_interval);
    step_timer_.async_wait([this](asio::error_code error) {
        if (error)
            return;
        if (!is_dark_) {
            advance();
            answer_holds();
        }
        step();
    });
}

void executor::schedule_report() {
    report();
    report_timer_.expires_after(report_interval);
    report_timer_.async_wait([this](asio::error_code error) {
        if (!error)
            schedule_report();
    });
}

void executor::report() {
    if (is_dark_)
        return;
    http_client_request request;
    request.method = "PUT";
    request.url = "http://" + agent_address_ + "/executors/" + profile_.id;
    request.headers = {"Content-Type: application/json"};
    request.body = encode_announcement({profile_, ++sequence_, clock_ms()}, address_);
    request.timeout = report_timeout;
    client_.send(request, [](const http_answer&) {});
}

} // namespace persimmonstile::review
