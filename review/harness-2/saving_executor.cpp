#include "saving_executor.h"

#include "standins/order_wire.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <variant>

namespace persimmonstile::review {

namespace {

// HoldMaxMs, CheckpointS and RestoreMs of the site.
constexpr std::int64_t longest_lease_ms = 1000;
constexpr double checkpoint_interval_ms = 1000;
constexpr milliseconds restore_time{600};
constexpr milliseconds step_interval{4};
constexpr milliseconds announcement_interval{1500};
constexpr std::size_t longest_end_list = 500;

http_limits server_limits() {
    http_limits limits;
    limits.max_body_bytes = std::size_t{1024} * 1024;
    limits.read_timeout = std::chrono::seconds{60};
    limits.kept_headers = {"Target-Instance"};
    return limits;
}

double number_in(const std::string& text) {
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return static_cast<double>(number);
}

} // namespace

saving_executor::saving_executor(asio::io_context& context, const clock_source& clock,
                                 const std::string& address, const std::string& agent_address,
                                 const backend_profile& profile, event_handler on_event)
    : context_{context}
    , clock_{clock}
    , address_{address}
    , agent_address_{agent_address}
    , profile_{profile}
    , on_event_{std::move(on_event)}
    , born_{clock.now()}
    , step_timer_{context}
    , announce_timer_{context}
    , return_timer_{context}
    , client_{context, 2}
    , server_{context, address, server_limits(),
              [this](const http_request& request, const http_responder& respond) {
                  handle(request, respond);
              }} {
    step();
    announce();
}

std::int64_t saving_executor::clock_ms() const {
    return std::chrono::duration_cast<milliseconds>(clock_.now() - born_).count() + 1;
}

double saving_executor::progress_ms(const active_run& run) const {
    const double worked = std::chrono::duration<double, std::milli>{clock_.now() - run.works_from}.count();
    return run.restored_ms + std::max(0.0, worked);
}

// The work that the last checkpoint holds, as text.
std::string saving_executor::checkpoint_of(const active_run& run) const {
    const double saved = std::floor(progress_ms(run) / checkpoint_interval_ms) * checkpoint_interval_ms;
    return saved <= run.restored_ms ? run.checkpoint : std::to_string(static_cast<std::int64_t>(saved));
}

void saving_executor::handle(const http_request& request, const http_responder& respond) {
    if (is_dark_)
        return;
    const std::optional<backend_order> order = decode_order_request(request);
    const std::string& intended = request.header("Target-Instance");
    backend_reply reply;
    const auto answer = [&] {
        reply.clock_ms = clock_ms();
        reply.life = profile_.life;
        respond(encode_order_reply(reply));
    };
    if (!order) {
        reply.verdict = backend_verdict::invalid;
        answer();
        return;
    }
    if (!intended.empty() && intended != profile_.id) {
        reply.verdict = backend_verdict::other_instance;
        answer();
        return;
    }
    if (order->fencing_token < token_) {
        reply.verdict = backend_verdict::fenced;
        answer();
        return;
    }
    token_ = order->fencing_token;
    if (const auto* begun = std::get_if<start_order>(&order->action)) {
        reply = start(*order, *begun);
    } else if (const auto* stopped = std::get_if<stop_order>(&order->action)) {
        reply = stop(*stopped);
    } else {
        const auto& hold = std::get<hold_order>(order->action);
        acknowledge(hold.acknowledged_end);
        if (hold.renews)
            extend_lease(order->lease_until_ms);
        if (hold.wait.count() > 0 && ends_.empty()) {
            holds_.push_back({hold, clock_.now() + hold.wait, respond});
            return;
        }
        reply = lists();
    }
    answer();
    answer_holds();
}

backend_reply saving_executor::start(const backend_order& order, const start_order& action) {
    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    if (order.lease_until_ms < clock_ms()) {
        reply.verdict = backend_verdict::late;
        return reply;
    }
    extend_lease(order.lease_until_ms);
    if (active_.contains(action.run))
        return reply;
    const auto highest = highest_.find(action.run.task);
    if (highest != highest_.end() && action.run.run <= highest->second) {
        reply.verdict = backend_verdict::old_run;
        return reply;
    }
    active_run run;
    run.payload = action.payload;
    run.checkpoint = action.checkpoint;
    run.restored_ms = number_in(action.checkpoint);
    run.works_from = clock_.now() + (action.checkpoint.empty() ? milliseconds{0} : restore_time);
    active_[action.run] = run;
    on_event_(action.run, run_state::running, action.checkpoint);
    return reply;
}

backend_reply saving_executor::stop(const stop_order& action) {
    const auto found = active_.find(action.run);
    if (found != active_.end()) {
        // At a stop the task saves all that it has done.
        const double done = progress_ms(found->second);
        end(action.run, run_state::stopped,
            done > found->second.restored_ms ? std::to_string(static_cast<std::int64_t>(done))
                                             : found->second.checkpoint);
    }
    run_number& highest = highest_[action.run.task];
    highest = std::max(highest, action.run.run);
    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    return reply;
}

backend_reply saving_executor::lists() const {
    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    for (const auto& [run, state] : active_) {
        const double part = progress_ms(state) / std::max(1.0, number_in(state.payload));
        listed_run listed;
        listed.run = run;
        listed.checkpoint = checkpoint_of(state);
        listed.percent = static_cast<std::uint32_t>(100 * std::min(1.0, part));
        reply.running.push_back(std::move(listed));
    }
    for (const listed_end& ended : ends_) {
        if (reply.ended.size() == longest_end_list)
            break;
        reply.ended.push_back(ended);
    }
    return reply;
}

void saving_executor::acknowledge(std::uint64_t number) {
    while (!ends_.empty() && ends_.front().number <= number)
        ends_.pop_front();
}

void saving_executor::extend_lease(std::int64_t until_ms) {
    lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, clock_ms() + longest_lease_ms));
}

void saving_executor::end(const run_ref& run, run_state state, const std::string& checkpoint) {
    active_.erase(run);
    run_number& highest = highest_[run.task];
    highest = std::max(highest, run.run);
    listed_end ended;
    ended.number = ++last_end_;
    ended.run = run;
    ended.final_state = state;
    ended.checkpoint = checkpoint;
    ends_.push_back(std::move(ended));
    on_event_(run, state, checkpoint);
}

void saving_executor::step() {
    step_timer_.expires_after(step_interval);
    step_timer_.async_wait([this](asio::error_code error) {
        if (error)
            return;
        const std::map<run_ref, active_run> active = active_;
        for (const auto& [run, state] : active) {
            if (progress_ms(state) >= number_in(state.payload))
                end(run, run_state::done, {});
            else if (clock_ms() > lease_until_ms_)
                end(run, run_state::lapsed, checkpoint_of(state));
        }
        answer_holds();
        step();
    });
}

void saving_executor::answer_holds() {
    if (is_dark_)
        return;
    for (auto it = holds_.begin(); it != holds_.end();) {
        if (ends_.empty() && clock_.now() < it->until) {
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

void saving_executor::crash(milliseconds away) {
    for (const auto& [run, state] : active_)
        on_event_(run, run_state::lapsed, {});
    active_.clear();
    ends_.clear();
    highest_.clear();
    holds_.clear();
    token_ = 0;
    lease_until_ms_ = 0;
    last_end_ = 0;
    sequence_ = 0;
    is_dark_ = true;
    return_timer_.expires_after(away);
    return_timer_.async_wait([this](asio::error_code error) {
        if (error)
            return;
        is_dark_ = false;
        born_ = clock_.now();
        profile_.life = static_cast<std::uint64_t>(unix_time_ms(clock_.wall_now()));
        announce();
    });
}

void saving_executor::announce() {
    if (!is_dark_) {
        http_client_request request;
        request.method = "PUT";
        request.url = "http://" + agent_address_ + "/executors/" + profile_.id;
        request.headers = {"Content-Type: application/json"};
        request.body = encode_announcement({profile_, ++sequence_, clock_ms()}, address_);
        client_.send(request, [](const http_answer&) {});
    }
    announce_timer_.expires_after(announcement_interval);
    announce_timer_.async_wait([this](asio::error_code error) {
        if (!error)
            announce();
    });
}

} // namespace persimmonstile::review
