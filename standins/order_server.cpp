#include "standins/order_server.h"

#include "standins/order_wire.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

namespace persimmonstile {

namespace {

// Tasks end on this grid, a fraction of the shortest ones.
constexpr milliseconds step_interval{4};

// The platform's backend servers report themselves this often.
constexpr milliseconds announcement_interval{1500};
constexpr milliseconds announcement_timeout{1000};

// A crashed backend server needs this long to start again.
constexpr milliseconds shortest_start{600};

// An order without an answer may be carried out this much later.
constexpr std::int64_t shortest_lateness_ms = 2000;
constexpr std::int64_t longest_lateness_ms = 12000;

http_limits server_limits() {
    http_limits limits;
    limits.max_body_bytes = std::size_t{1024} * 1024;
    limits.read_timeout = std::chrono::seconds{60};
    limits.kept_headers = {"Target-Instance"};
    return limits;
}

} // namespace

order_server::order_server(asio::io_context& context, const options& chosen, const clock_source& clock,
                           std::uint64_t seed, work_reader work, event_handler on_event)
    : context_{context}
    , options_{chosen}
    , clock_{clock}
    , random_{seed}
    , work_{std::move(work)}
    , on_event_{std::move(on_event)}
    , backend_{chosen.profile}
    , step_timer_{context}
    , announce_timer_{context}
    , client_{context, 2}
    , server_{context, chosen.address, server_limits(),
              [this](const http_request& request, const http_responder& respond) {
                  handle(request, respond);
              }} {
    backend_.set_slowness(chosen.slowness);
    backend_.crash(clock_.now());
    step();
    announce();
}

void order_server::after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](asio::error_code error) {
        if (!error)
            action();
    });
}

void order_server::set_faults(const order_faults& faults) {
    faults_ = faults;
    backend_.set_hanging(faults.is_hanging);
}

void order_server::handle(const http_request& request, const http_responder& respond) {
    if (is_dark_)
        return;
    const std::optional<backend_order> order = decode_order_request(request);
    const std::string& intended = request.header("Target-Instance");
    if (!order) {
        respond({400, "application/json", {}, "{}"});
    } else if (!intended.empty() && intended != backend_.profile().id) {
        respond({421, "application/json", {}, "{}"});
    } else if (faults_.is_refusing && std::holds_alternative<start_order>(order->action)) {
        respond({503, "application/json", {}, "{}"});
    } else if (is_chance(faults_.late_orders)) {
        const milliseconds lateness{
            std::uniform_int_distribution<std::int64_t>{shortest_lateness_ms, longest_lateness_ms}(random_)};
        after(lateness, [this, order = *order, id = backend_.profile().id, life = backend_.profile().life] {
            // An order that waits in a process ends with it.
            if (id != backend_.profile().id || life != backend_.profile().life)
                return;
            if (const auto* start = std::get_if<start_order>(&order.action))
                backend_.set_work(start->run.task, work_(start->payload, start->run.task.index));
            backend_.carry_out(order, clock_.now());
            note_events(true);
        });
    } else {
        carry_out(*order, respond);
    }
}

void order_server::carry_out(const backend_order& order, const http_responder& respond) {
    if (const auto* start = std::get_if<start_order>(&order.action)) {
        backend_.set_work(start->run.task, work_(start->payload, start->run.task.index));
        if (is_chance(faults_.failing))
            backend_.set_failing(start->run.task);
    }
    const backend_reply reply = backend_.carry_out(order, clock_.now());
    note_events(false);
    const auto* hold = std::get_if<hold_order>(&order.action);
    const bool waits = hold != nullptr && hold->wait.count() > 0 &&
                       reply.verdict == backend_verdict::accepted &&
                       !backend_.has_news(hold->acknowledged_end);
    if (waits)
        holds_.push_back({order, clock_.now() + hold->wait, respond});
    else
        respond(encode_order_reply(reply));
    answer_holds();
}

void order_server::answer_holds() {
    const time_point now = clock_.now();
    for (auto it = holds_.begin(); it != holds_.end();) {
        const auto& hold = std::get<hold_order>(it->order.action);
        if (!backend_.has_news(hold.acknowledged_end) && now < it->until) {
            ++it;
            continue;
        }
        waiting_hold ended = std::move(*it);
        it = holds_.erase(it);
        std::get<hold_order>(ended.order.action).renews = false;
        const backend_reply reply = backend_.carry_out(ended.order, now);
        note_events(false);
        ended.respond(encode_order_reply(reply));
    }
}

void order_server::note_events(order_backend& backend, bool is_late) {
    for (const order_backend::event& event : backend.take_events())
        on_event_(backend.profile(), event, is_late);
}

void order_server::step() {
    step_timer_.expires_after(step_interval);
    step_timer_.async_wait([this](asio::error_code error) {
        if (error)
            return;
        backend_.advance(clock_.now());
        note_events(false);
        for (order_backend& former : former_) {
            former.advance(clock_.now());
            note_events(former, false);
        }
        former_.remove_if([](const order_backend& former) { return former.running().empty(); });
        if (!is_dark_)
            answer_holds();
        step();
    });
}

void order_server::crash(milliseconds away) {
    holds_.clear();
    backend_.crash(clock_.now());
    note_events(false);
    is_drain_known_ = false;
    is_dark_ = true;
    after(std::max(away, shortest_start), [this] {
        is_dark_ = false;
        send_announcement();
    });
}

void order_server::crash(milliseconds away, const std::string& next_id, std::uint64_t next_life) {
    crash(away);
    backend_.set_identity(next_id, next_life);
}

void order_server::replace(const std::string& next_id, std::uint64_t next_life) {
    holds_.clear();
    note_events(false);
    former_.push_back(backend_);
    backend_.crash(clock_.now());
    backend_.take_events();
    backend_.set_identity(next_id, next_life);
    is_drain_known_ = false;
    send_announcement();
}

void order_server::set_draining(bool is_draining) {
    backend_.set_draining(is_draining);
    is_drain_known_ = false;
    send_announcement();
}

void order_server::announce() {
    send_announcement();
    announce_timer_.expires_after(announcement_interval);
    announce_timer_.async_wait([this](asio::error_code error) {
        if (!error)
            announce();
    });
}

void order_server::send_announcement() {
    if (is_dark_)
        return;
    const backend_announcement announcement = backend_.announce(clock_.now());
    http_client_request request = registration("PUT", announcement.profile.id);
    request.body = encode_announcement(announcement, options_.address);
    client_.send(request, [this, profile = announcement.profile](const http_answer& answer) {
        const backend_profile& present = backend_.profile();
        if (answer.status == 200 && profile.draining && present.draining && profile.id == present.id)
            is_drain_known_ = true;
    });
}

http_client_request order_server::registration(const std::string& method, const std::string& id) const {
    http_client_request request;
    request.method = method;
    request.url = "http://" + options_.agent_address + "/executors/" + id;
    request.headers = {"Content-Type: application/json"};
    request.timeout = announcement_timeout;
    return request;
}

void order_server::send_report(const backend_announcement& report) {
    http_client_request request = registration("PUT", report.profile.id);
    request.body = encode_announcement(report, options_.address);
    client_.send(request, [](const http_answer&) {});
}

void order_server::send_leave(const std::string& id) {
    client_.send(registration("DELETE", id), [](const http_answer&) {});
}

} // namespace persimmonstile
