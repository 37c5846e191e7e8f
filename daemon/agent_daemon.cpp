#include "daemon/agent_daemon.h"

#include "daemon/input_shares.h"
#include "daemon/receive_frame.h"
#include "protocol/announcement_json.h"
#include "protocol/job_response.h"
#include "state/limits.h"
#include "transport/input_metrics.h"
#include "transport/logging.h"

#include <iterator>
#include <random>
#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "agent";
constexpr milliseconds tick_interval{20};
constexpr std::size_t http_threads = 1;
constexpr std::size_t max_announcement_bytes = std::size_t{64} * 1024;

incarnation new_incarnation(const std::string& name) {
    std::random_device random;
    const std::uint64_t high = random();
    return {name, (high << 32U) | random()};
}

void send_control(frame_connection& connection, const control_message& message) {
    const encoded_frame frame = encode_control_message(message);
    connection.send(frame.kind, frame.payload);
}

http_response text_response(std::uint16_t status, std::string text) {
    http_response response;
    response.status = status;
    response.content_type = "text/plain; charset=utf-8";
    response.body = std::move(text);
    return response;
}

// Merges the report into an unsent report to the same entry about the same job and epoch. Returns false if
// there is none.
bool merge_report(agent_actions& all, const task_message_to_entry& send) {
    const auto* added = std::get_if<task_reports>(&send.message);
    if (added == nullptr)
        return false;
    for (task_message_to_entry& earlier : all.sends) {
        auto* reports = std::get_if<task_reports>(&earlier.message);
        const bool is_same_job = reports != nullptr && earlier.to == send.to && reports->job == added->job &&
                                 reports->epoch == added->epoch;
        if (!is_same_job)
            continue;
        reports->load = added->load;
        reports->reports.insert(reports->reports.end(), added->reports.begin(), added->reports.end());
        return true;
    }
    return false;
}

void append_actions(agent_actions& all, agent_actions next) {
    all.calls.insert(all.calls.end(), std::make_move_iterator(next.calls.begin()),
                     std::make_move_iterator(next.calls.end()));
    for (task_message_to_entry& send : next.sends) {
        if (!merge_report(all, send))
            all.sends.push_back(std::move(send));
    }
}

} // namespace

agent_daemon::agent_daemon(daemon_settings settings, const clock_source& clock)
    : settings_{std::move(settings)}
    , clock_{clock}
    , self_{new_incarnation(settings_.name)}
    , tracer_{make_trace_resource(settings_), make_span_sink(settings_), clock}
    , tasks_{self_, settings_.zone, settings_.rack}
    , grantor_{self_, clock.now()}
    , io_{settings_.threads}
    , control_{asio::make_strand(io_.context())}
    , tick_timer_{control_}
    , dialer_{io_.context(), clock,
              [this](const std::string& address, std::shared_ptr<frame_connection> connection) {
                  auto session = std::make_shared<peer_session>();
                  session->address = address;
                  session->connection = std::move(connection);
                  open_session(session);
              }} {
    backends_ = std::make_unique<backend_client>(
        clock_, [this](const std::vector<backend_client::ended_call>& ended) { process_ended_calls(ended); });
    const http_limits limits = caller_limits(settings_, max_announcement_bytes);
    http_ = std::make_unique<http_server>(settings_.http_address, http_threads, limits,
                                          [this](const http_request& request, const http_responder& respond) {
                                              handle_http(request, respond);
                                          });
    update_dialed_addresses();
    asio::post(control_, [this] { schedule_tick(); });
    log_event(log_level::info, component, "started", {{"name", self_.name}, {"http", http_->address()}});
}

agent_daemon::~agent_daemon() {
    stop();
}

void agent_daemon::begin_shutdown() {
    is_draining_ = true;
    log_event(log_level::info, component, "graceful shutdown started");
    apply_event([&](agent_task_table& tasks) { return tasks.drain(clock_.now()); });
    send_status();
}

bool agent_daemon::is_drained() {
    if (!is_draining_)
        return false;
    {
        const std::lock_guard lock{tasks_mutex_};
        if (tasks_.running() > 0)
            return false;
    }
    if (events_in_progress_ > 0)
        return false;
    // The connections close gracefully, so that the owners receive the last results before the process exits.
    if (!is_closing_.exchange(true)) {
        dialer_.stop();
        entries_.send_to_all(departure());
        entries_.close_gracefully();
    }
    return entries_.connected().empty();
}

agent_departure agent_daemon::departure() const {
    const std::lock_guard lock{tasks_mutex_};
    return {self_, tasks_.known_job_hashes()};
}

void agent_daemon::stop() {
    if (std::exchange(is_stopped_, true))
        return;
    http_->stop();
    backends_->stop();
    io_.stop();
    log_event(log_level::info, component, "stopped", {{"name", self_.name}});
}

void agent_daemon::open_session(const std::shared_ptr<peer_session>& session) {
    session->connection->start(
        [this, session](frame_kind kind, std::string_view payload) { receive(session, kind, payload); },
        [this, session](const std::string&) { connection_closed(session); });
    // The status is sent first, because it tells the entry which agent the connection belongs to.
    agent_status status;
    {
        const std::lock_guard lock{tasks_mutex_};
        status = tasks_.status();
    }
    send_control(*session->connection, status);
}

void agent_daemon::connection_closed(const std::shared_ptr<peer_session>& session) {
    entries_.remove(session->connection.get());
    dialer_.lost(session->address);
}

void agent_daemon::receive(const std::shared_ptr<peer_session>& session, frame_kind kind,
                           std::string_view payload) {
    receive_frame(
        *session, kind, payload, component,
        [&](const task_message& message) { receive_task(*session, message); },
        [&](const control_message& message) { receive_control(session, message); });
}

void agent_daemon::receive_task(const peer_session& session, const task_message& message) {
    if (!session.entry)
        return;
    const incarnation& owner = *session.entry;
    const time_point now = clock_.now();
    if (const auto* work = std::get_if<dispatch>(&message))
        apply_event([&](agent_task_table& tasks) { return tasks.dispatched(owner, *work, now); });
    else if (const auto* revocation = std::get_if<revoke>(&message))
        apply_event([&](agent_task_table& tasks) { return tasks.revoked(owner, *revocation, now); });
    else if (const auto* query = std::get_if<query_job>(&message))
        apply_event([&](agent_task_table& tasks) { return tasks.queried(owner, *query, now); });
}

template <typename Event> void agent_daemon::apply_event(Event event) {
    ++events_in_progress_;
    agent_actions actions;
    {
        const std::lock_guard lock{tasks_mutex_};
        actions = event(tasks_);
    }
    perform(std::move(actions));
    --events_in_progress_;
}

void agent_daemon::process_ended_calls(const std::vector<backend_client::ended_call>& ended) {
    for (const auto& [call, result] : ended)
        end_spans(call, result);
    apply_event([&](agent_task_table& tasks) {
        agent_actions all;
        for (const auto& [call, result] : ended)
            append_actions(all, tasks.answered(call.job, call.index, result, clock_.now()));
        return all;
    });
}

void agent_daemon::perform(agent_actions actions) {
    for (backend_call& call : actions.calls)
        begin_spans(call);
    backends_->start(std::move(actions.calls));
    for (const task_message_to_entry& send : actions.sends) {
        metrics_.messages.add(kind_of(send.message));
        if (const auto* reports = std::get_if<task_reports>(&send.message))
            count_reports(*reports);
        entries_.send(send.to, send.message);
    }
    if (!actions.fetch_from.name.empty())
        entries_.send(actions.fetch_from, control_message{content_request{0, fleet_config_.revision()}});
}

void agent_daemon::count_reports(const task_reports& reports) {
    for (const task_report& report : reports.reports) {
        metrics_.tasks.add(report.status);
        if (report.status == task_status::not_started) {
            metrics_.refusals.add(report.reason);
            continue;
        }
        metrics_.queue_time.record(report.queue_time());
        metrics_.run_time.record(report.run_time());
    }
}

void agent_daemon::begin_spans(backend_call& call) {
    if (!tracer_.is_enabled())
        return;
    const time_point now = clock_.now();
    trace_span agent = tracer_.begin(trace_hop::agent, tracer_.accept(call.traceparent));
    agent.start -= std::chrono::duration_cast<wall_time::duration>(now - call.accepted);
    agent.started = call.accepted;
    agent.job = call.job;
    agent.task = call.index;
    trace_span call_span = tracer_.begin(trace_hop::backend_call, agent.context);
    call_span.job = call.job;
    call_span.task = call.index;
    call_span.peer = call.url;
    call.traceparent = format_traceparent(call_span.context);
    const std::lock_guard lock{spans_mutex_};
    spans_.insert_or_assign({call.job, call.index}, task_spans{std::move(agent), std::move(call_span)});
}

void agent_daemon::end_spans(const backend_call& call, const backend_result& result) {
    if (!tracer_.is_enabled())
        return;
    task_spans ended;
    {
        const std::lock_guard lock{spans_mutex_};
        const auto found = spans_.find({call.job, call.index});
        if (found == spans_.end())
            return;
        ended = std::move(found->second);
        spans_.erase(found);
    }
    const bool failed = result.kind != backend_result_kind::answered;
    ended.call.outcome = failed ? result.text : "succeeded";
    ended.call.failed = failed;
    ended.agent.outcome = ended.call.outcome;
    ended.agent.failed = failed;
    tracer_.end(std::move(ended.call));
    tracer_.end(std::move(ended.agent));
}

void agent_daemon::receive_control(const std::shared_ptr<peer_session>& session,
                                   const control_message& message) {
    frame_connection& connection = *session->connection;
    const time_point now = clock_.now();
    if (const auto* hello = std::get_if<entry_hello>(&message)) {
        entry_hello_received(session, *hello);
    } else if (const auto* request = std::get_if<grant_request>(&message)) {
        grant_reply reply;
        {
            const std::lock_guard lock{grantor_mutex_};
            reply = grantor_.request(*request, fleet_config_.revision(), now);
        }
        reply.revision = fleet_config_.revision();
        send_control(connection, reply);
        if (request->revision > fleet_config_.revision())
            send_control(connection, content_request{0, fleet_config_.revision()});
    } else if (const auto* push = std::get_if<table_push>(&message)) {
        table_received(*push, connection);
    } else if (const auto* config = std::get_if<config_push>(&message)) {
        config_received(config->content);
    } else if (const auto* pong = std::get_if<view_pong>(&message)) {
        pong_received(*pong, connection);
    } else if (const auto* requested_content = std::get_if<content_request>(&message)) {
        if (fleet_config_.revision() > requested_content->known_revision)
            send_control(connection, fleet_config_.push());
        const std::lock_guard lock{grantor_mutex_};
        if (grantor_.table().version > requested_content->known_version)
            send_control(connection, table_push{grantor_.table()});
    } else if (const auto* recovery_query = std::get_if<recovery_request>(&message)) {
        const std::lock_guard lock{grantor_mutex_};
        if (const auto reply = grantor_.answer(*recovery_query))
            send_control(connection, *reply);
    } else if (const auto* reply = std::get_if<recovery_reply>(&message)) {
        const std::lock_guard lock{grantor_mutex_};
        grantor_.handle_recovery_reply(*reply, now);
    }
}

void agent_daemon::entry_hello_received(const std::shared_ptr<peer_session>& session,
                                        const entry_hello& hello) {
    session->entry = hello.entry;
    entries_.add(hello.entry, session->connection);
}

void agent_daemon::table_received(const table_push& push, frame_connection& connection) {
    table_ack ack;
    owner_table table;
    {
        const std::lock_guard lock{grantor_mutex_};
        ack = grantor_.push(push.table, clock_.now());
        table = grantor_.table();
    }
    // The task table must refuse stale epochs before the acknowledgement tells the owner that this agent has
    // the new owner table.
    apply_event([&](agent_task_table& tasks) { return tasks.set_table(table, clock_.now()); });
    send_control(connection, ack);
    update_dialed_addresses();
}

void agent_daemon::pong_received(const view_pong& pong, frame_connection& connection) {
    table_version own_version = 0;
    {
        const std::lock_guard lock{grantor_mutex_};
        own_version = grantor_.table().version;
    }
    // The lease of a view that is known to be stale must not be extended.
    if (pong.version > own_version || pong.revision > fleet_config_.revision()) {
        send_control(connection, content_request{own_version, fleet_config_.revision()});
        return;
    }
    if (pong.lease_ns <= 0)
        return;
    if (pong.is_agent_recorded && !is_recorded_.exchange(true))
        apply_event([&](agent_task_table& tasks) { return tasks.mark_agent_recorded(clock_.now()); });
    const time_point until{std::chrono::nanoseconds{pong.sent_ns + pong.lease_ns}};
    apply_event([&](agent_task_table& tasks) { return tasks.extend_lease(until, clock_.now()); });
}

void agent_daemon::config_received(const std::string& content) {
    const auto view = fleet_config_.update_if_newer(content);
    if (!view)
        return;
    log_event(log_level::info, component, "configuration in use", {{"revision", view->revision}});
    metrics_.configuration_revision.set(static_cast<std::int64_t>(view->revision));
    apply_event([&](agent_task_table& tasks) { return tasks.set_fleet(view, clock_.now()); });
    send_status();
}

void agent_daemon::send_status() {
    agent_status status;
    {
        const std::lock_guard lock{tasks_mutex_};
        status = tasks_.status();
    }
    entries_.send_to_all(status);
}

void agent_daemon::update_dialed_addresses() {
    std::set<std::string> addresses{settings_.peers.begin(), settings_.peers.end()};
    {
        const std::lock_guard lock{grantor_mutex_};
        for (const entry_address& entry : grantor_.table().entries)
            addresses.insert(entry.address);
    }
    dialer_.set_addresses(addresses);
}

void agent_daemon::schedule_tick() {
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(asio::bind_executor(control_, [this](asio::error_code error) {
        if (error)
            return;
        tick();
        schedule_tick();
    }));
}

void agent_daemon::tick() {
    const time_point now = clock_.now();
    if (now - last_ping_ >= view_ping_interval) {
        last_ping_ = now;
        entries_.send_to_all(view_ping{now.time_since_epoch().count()});
    }
    std::optional<recovery_request> recovery;
    {
        const std::lock_guard lock{grantor_mutex_};
        recovery = grantor_.take_recovery_request(now);
    }
    if (recovery)
        entries_.send_to_all(*recovery);
    bool has_status_changed = false;
    apply_event([&](agent_task_table& tasks) {
        agent_actions actions = tasks.tick(now);
        has_status_changed = tasks.take_status_change();
        metrics_.running_tasks.set(static_cast<std::int64_t>(tasks.running()));
        return actions;
    });
    if (has_status_changed)
        send_status();
}

void agent_daemon::handle_http(const http_request& request, const http_responder& respond) {
    if (request.method == "POST" && request.path == "/v1/announce")
        respond(handle_announcement(request.body));
    else if (request.method == "GET")
        respond(handle_get(request.path));
    else
        respond(text_response(404, "no such resource\n"));
}

http_response agent_daemon::handle_get(const std::string& path) const {
    if (path == "/healthz")
        return text_response(200, "ok\n");
    if (path == "/readyz") {
        const bool is_ready = is_recorded_ && fleet_config_.revision() > 0 && !is_draining_;
        return is_ready ? text_response(200, "ready\n") : text_response(503, "not ready\n");
    }
    if (path == "/metrics") {
        http_response response =
            text_response(200, metrics_.prometheus_text() + input_metrics::instance().prometheus_text());
        response.content_type = prometheus_content_type;
        return response;
    }
    return text_response(404, "no such resource\n");
}

http_response agent_daemon::handle_announcement(const std::string& body) {
    const auto parsed = parse_announcement(body);
    if (const auto* problems = std::get_if<request_findings>(&parsed)) {
        job_response problem = make_findings_response(400, "Invalid announcement", *problems);
        http_response response;
        response.status = problem.status;
        response.content_type = std::move(problem.content_type);
        response.body = std::move(problem.body);
        return response;
    }
    const auto& announced = std::get<announcement>(parsed);
    backends_->set_connection_limit(announced.connections);
    bool has_changed = false;
    apply_event([&](agent_task_table& tasks) {
        has_changed = tasks.announced(announced, clock_.now());
        return agent_actions{};
    });
    if (has_changed)
        send_status();
    return text_response(204, {});
}

} // namespace persimmonstile
