#include "daemon/entry_daemon.h"

#include "daemon/input_shares.h"
#include "daemon/receive_frame.h"
#include "protocol/fleet_document.h"
#include "protocol/ip_endpoint.h"
#include "state/limits.h"
#include "transport/logging.h"

#include <algorithm>
#include <future>
#include <random>
#include <set>
#include <stdexcept>
#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "entry";
constexpr milliseconds tick_interval{20};
constexpr std::size_t http_threads = 2;
// The server refuses larger bodies itself. Bodies between max_request_body_bytes and this get the response of
// the interface.
constexpr std::size_t max_http_body_bytes = 2 * max_request_body_bytes;

incarnation new_incarnation(const std::string& name) {
    std::random_device random;
    const std::uint64_t high = random();
    return {name, (high << 32U) | random()};
}

ip_endpoint required_address(const std::string& text) {
    const auto parsed = parse_ip_endpoint(text);
    if (!parsed)
        throw std::invalid_argument("not an ip:port address: " + text);
    return *parsed;
}

std::uint64_t random_seed() {
    std::random_device random;
    return random();
}

} // namespace

entry_daemon::entry_daemon(daemon_settings settings, const clock_source& clock)
    : settings_{std::move(settings)}
    , clock_{clock}
    , self_{new_incarnation(settings_.name)}
    , tracer_{make_trace_resource(settings_), make_span_sink(settings_), clock}
    , journal_{settings_.event_file}
    , agents_{clock}
    , engine_{clock,
              agents_,
              tracer_,
              metrics_,
              journal_,
              [this](const caller_answer& answer) { request_router_.process_engine_answer(answer); },
              [this](const partition_handover& handover) {
                  hand_over(handover);
              }}
    , request_router_{clock, self_,
                      [this](const incarnation& to, const task_message& message) {
                          metrics_.messages.add(kind_of(message));
                          return entries_.send(to, message);
                      }}
    , io_{settings_.threads}
    , control_{asio::make_strand(io_.context())}
    , tick_timer_{control_}
    , listener_{io_.context(), required_address(settings_.peer_address),
                [this](asio::ip::tcp::socket socket) {
                    accept(std::move(socket));
                }}
    , peer_address_{settings_.advertised_peer_address.empty() ? to_string(listener_.local_address())
                                                              : settings_.advertised_peer_address}
    , dialer_{io_.context(), clock,
              [this](const std::string& address, std::shared_ptr<frame_connection> connection) {
                  auto session = std::make_shared<peer_session>();
                  session->address = address;
                  session->connection = std::move(connection);
                  open_session(session);
              }}
    , ownership_{self_, peer_address_, settings_.minimum_grantors} {
    request_router_.set_engine(engine_);
    store_ = std::make_unique<store_worker>(
        settings_.store_endpoints, settings_.cell, clock_, random_seed(),
        [this](const std::string& content) { stored_config_received(content); });
    api_ = std::make_unique<entry_api>(clock_, request_router_, metrics_, tracer_,
                                       entry_api::daemon_callbacks{[this] { return status(); },
                                                                   [this] {
                                                                       return is_ready_ && !is_draining_;
                                                                   }});
    const http_limits limits = caller_limits(settings_, max_http_body_bytes);
    http_ = std::make_unique<http_server>(settings_.http_address, http_threads, limits,
                                          [this](const http_request& request, const http_responder& respond) {
                                              api_->handle(request, respond);
                                          });
    listener_.start();
    asio::post(control_, [this] { schedule_tick(); });
    log_event(log_level::info, component, "started",
              {{"name", self_.name}, {"http", http_->address()}, {"peers", peer_address_}});
}

entry_daemon::~entry_daemon() {
    stop();
}

void entry_daemon::begin_shutdown() {
    is_draining_ = true;
    log_event(log_level::info, component, "graceful shutdown started");
    asio::post(control_, [this] { perform(ownership_.leave(clock_.now())); });
}

bool entry_daemon::is_drained() {
    const bool is_served =
        is_draining_ && has_left_ && request_router_.waiting_callers() == 0 && http_->open_requests() == 0;
    if (!is_served)
        return false;
    // Answers to other entries must be written before the process ends.
    if (!is_closing_.exchange(true)) {
        dialer_.stop();
        entries_.close_gracefully();
    }
    return entries_.connected().empty();
}

void entry_daemon::stop() {
    if (std::exchange(is_stopped_, true))
        return;
    http_->stop();
    store_->stop();
    io_.stop();
    log_event(log_level::info, component, "stopped", {{"name", self_.name}});
}

void entry_daemon::accept(asio::ip::tcp::socket socket) {
    auto session = std::make_shared<peer_session>();
    session->connection = std::make_shared<frame_connection>(std::move(socket), clock_);
    if (unidentified_.add(session->connection))
        open_session(session);
}

void entry_daemon::open_session(const std::shared_ptr<peer_session>& session) {
    session->connection->start(
        [this, session](frame_kind kind, std::string_view payload) { receive(session, kind, payload); },
        [this, session](const std::string& reason) { connection_closed(session, reason); });
    const encoded_frame hello = encode_control_message(entry_hello{self_, peer_address_});
    session->connection->send(hello.kind, hello.payload);
}

void entry_daemon::receive(const std::shared_ptr<peer_session>& session, frame_kind kind,
                           std::string_view payload) {
    receive_frame(
        *session, kind, payload, component,
        [&](const task_message& message) { receive_task(*session, message); },
        [&](const control_message& message) { receive_control(session, message); });
}

void entry_daemon::receive_task(peer_session& session, const task_message& message) {
    if (const auto* reports = std::get_if<task_reports>(&message)) {
        for (const task_report& report : reports->reports) {
            metrics_.tasks.add(report.status);
            if (report.status == task_status::not_started) {
                metrics_.refusals.add(report.reason);
                metrics_.wasted_messages.add(message_kind::dispatch);
            }
        }
        engine_.process_reports(*reports);
    } else if (const auto* report = std::get_if<job_report>(&message)) {
        engine_.process_query_answer(*report);
    } else if (!session.entry) {
        log_event(log_level::warn, component, "message from a peer that has not sent a hello");
    } else if (const auto* handover = std::get_if<partition_handover>(&message)) {
        handover_received(*handover);
    } else if (const auto* result = std::get_if<job_result>(&message)) {
        request_router_.process_owner_answer(*session.entry, *result);
    } else if (const auto* job = std::get_if<forward_job>(&message)) {
        request_router_.process_forwarded_request(*session.entry, *job);
    } else if (const auto* lookup = std::get_if<forward_lookup>(&message)) {
        request_router_.process_forwarded_request(*session.entry, *lookup);
    }
}

void entry_daemon::receive_control(const std::shared_ptr<peer_session>& session,
                                   const control_message& message) {
    const auto connection = session->connection;
    if (const auto* hello = std::get_if<entry_hello>(&message)) {
        session->entry = hello->entry;
        entries_.add(hello->entry, connection);
    } else if (const auto* ping = std::get_if<view_ping>(&message)) {
        if (session->agent)
            asio::post(control_, [this, ping = *ping, agent = *session->agent, connection] {
                view_ping_received(ping, agent, connection);
            });
    } else if (const auto* status = std::get_if<agent_status>(&message)) {
        session->agent = status->agent;
        asio::post(control_,
                   [this, status = *status, connection] { agent_status_received(status, connection); });
    } else {
        asio::post(control_, [this, message, connection] { agent_control_received(message, connection); });
    }
}

void entry_daemon::connection_closed(const std::shared_ptr<peer_session>& session,
                                     const std::string& reason) {
    log_event(log_level::debug, component, "connection closed", {{"reason", reason}});
    if (!session->address.empty())
        dialer_.lost(session->address);
    const frame_connection* connection = session->connection.get();
    if (const auto entry = entries_.remove(connection))
        request_router_.entry_disconnected(*entry);
    asio::post(control_, [this, keep = session->connection] {
        if (const auto agent = agents_.unregister_connection(keep.get())) {
            engine_.agent_disconnected(*agent);
            perform(ownership_.agent_disconnected(*agent, clock_.now()));
        }
    });
}

void entry_daemon::agent_status_received(const agent_status& status,
                                         const std::shared_ptr<frame_connection>& connection) {
    const agent_registry::registration registered = agents_.connected(status, connection);
    for (const incarnation& old : registered.replaced) {
        log_event(log_level::info, component, "agent restarted", {{"agent", old.name}});
        engine_.agent_gone(old);
    }
    if (registered.is_new)
        perform(ownership_.agent_connected(status.agent, clock_.now()));
    engine_.agent_connected(status, registered.is_new);
}

void entry_daemon::view_ping_received(const view_ping& ping, const incarnation& agent,
                                      const std::shared_ptr<frame_connection>& connection) {
    view_pong pong;
    pong.sent_ns = ping.sent_ns;
    pong.lease_ns = ownership_.lease_left(clock_.now()).count();
    pong.version = ownership_.table().version;
    pong.revision = fleet_config_.revision();
    pong.is_agent_recorded = ownership_.is_recorded(agent);
    const encoded_frame frame = encode_control_message(pong);
    connection->send(frame.kind, frame.payload);
}

void entry_daemon::agent_control_received(const control_message& message,
                                          const std::shared_ptr<frame_connection>& connection) {
    const time_point now = clock_.now();
    const auto answer = [&](const control_message& reply) {
        const encoded_frame frame = encode_control_message(reply);
        connection->send(frame.kind, frame.payload);
    };
    if (const auto* reply = std::get_if<grant_reply>(&message)) {
        if (reply->revision > fleet_config_.revision())
            answer(content_request{ownership_.table().version, fleet_config_.revision()});
        else if (reply->revision < fleet_config_.revision())
            answer(fleet_config_.push());
        perform(ownership_.grant_replied(*reply, now));
    } else if (const auto* ack = std::get_if<table_ack>(&message)) {
        perform(ownership_.table_acknowledged(*ack, now));
    } else if (const auto* push = std::get_if<table_push>(&message)) {
        perform(ownership_.table_received(push->table, now));
    } else if (const auto* config = std::get_if<config_push>(&message)) {
        config_received(config->content);
    } else if (const auto* request = std::get_if<content_request>(&message)) {
        if (ownership_.table().version > request->known_version)
            answer(table_push{ownership_.table()});
        if (fleet_config_.revision() > request->known_revision)
            answer(fleet_config_.push());
    } else if (const auto* recovery_query = std::get_if<recovery_request>(&message)) {
        agents_.send_to_others(recovery_query->requester, *recovery_query);
    } else if (const auto* departure = std::get_if<agent_departure>(&message)) {
        engine_.agent_departed(*departure);
    } else if (const auto* recovery = std::get_if<recovery_reply>(&message)) {
        if (recovery->requester == self_)
            perform(ownership_.records_replied(*recovery, now));
        else
            agents_.send(recovery->requester, control_message{*recovery});
    }
}

void entry_daemon::perform(const ownership_actions& actions) {
    for (const outgoing_control_message& send : actions.sends) {
        metrics_.messages.add(kind_of(send.message));
        agents_.send(send.to, send.message);
    }
    for (const partition_id partition : actions.lost)
        engine_.lose_partition(partition);
    for (const partition_gain& gained : actions.gained) {
        engine_.gain_partition(gained);
        const auto handover = handovers_.find(gained.partition);
        if (handover != handovers_.end()) {
            engine_.process_handover(handover->second);
            handovers_.erase(handover);
        }
        for (const incarnation& gone : agents_.start_loss_timeouts(gained.previous_agents))
            engine_.agent_gone(gone);
    }
    engine_.set_lease(clock_.now() + ownership_.lease_left(clock_.now()));
    if (actions.table_changed || !actions.gained.empty() || !actions.lost.empty())
        table_changed();
    if (actions.read_table)
        store_->read_table([this](const table_read_result& result) {
            asio::post(control_, [this, result] {
                const time_point now = clock_.now();
                perform(result.is_available ? ownership_.table_read(result.table, result.mod_revision, now)
                                            : ownership_.table_unavailable(now));
            });
        });
    if (actions.write)
        store_->write_table(*actions.write, [this](table_write_result result) {
            asio::post(control_, [this, result] { perform(ownership_.table_written(result, clock_.now())); });
        });
}

// Runs on the control strand, where partitions are lost.
void entry_daemon::hand_over(const partition_handover& handover) {
    const owner_table& table = ownership_.table();
    if (handover.partition >= table.partitions.size())
        return;
    metrics_.messages.add(message_kind::partition_handover);
    entries_.send(table.partitions[handover.partition].owner, task_message{handover});
}

// The former owner may learn of the change before this entry does. Its handover is stored until this entry
// gains the partition.
void entry_daemon::handover_received(const partition_handover& handover) {
    asio::post(control_, [this, handover] {
        engine_.process_handover(handover);
        handovers_[handover.partition] = handover;
    });
}

void entry_daemon::table_changed() {
    const owner_table& table = ownership_.table();
    request_router_.set_table(table);
    engine_.set_entry_count(static_cast<std::uint32_t>(std::max<std::size_t>(1, table.entries.size())));
    std::set<std::string> addresses;
    for (const entry_address& entry : table.entries) {
        if (entry.entry != self_)
            addresses.insert(entry.address);
    }
    dialer_.set_addresses(addresses);
    const bool watching = table.partitions.empty() || table.partitions.front().owner == self_;
    store_->set_watching(watching);
    metrics_.owner_table_version.set(static_cast<std::int64_t>(table.version));
    log_event(log_level::info, component, "owner table changed",
              {{"version", table.version}, {"entries", table.entries.size()}, {"watching", watching}});
}

// Runs on the store worker's watch thread. The document is passed on without its history, which only
// operators read.
void entry_daemon::stored_config_received(const std::string& content) {
    const auto parsed = parse_fleet_document(content);
    if (const auto* problems = std::get_if<config_findings>(&parsed)) {
        for (const config_finding& problem : *problems)
            log_event(log_level::error, component, "the stored configuration is not valid",
                      {{"finding", describe(problem)}});
        return;
    }
    const std::string shared = encode_for_daemons(std::get<fleet_document>(parsed));
    asio::post(control_, [this, shared] { config_received(shared); });
}

void entry_daemon::config_received(const std::string& content) {
    const auto view = fleet_config_.update_if_newer(content);
    if (!view)
        return;
    log_event(log_level::info, component, "configuration in use", {{"revision", view->revision}});
    metrics_.configuration_revision.set(static_cast<std::int64_t>(view->revision));
    ownership_.set_config_revision(view->revision);
    engine_.set_fleet(view);
    agents_.send_to_others({}, fleet_config_.push());
}

void entry_daemon::schedule_tick() {
    // tick() runs on the control strand.
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(asio::bind_executor(control_, [this](asio::error_code error) {
        if (error)
            return;
        tick();
        schedule_tick();
    }));
}

void entry_daemon::tick() {
    perform(ownership_.tick(clock_.now()));
    for (const incarnation& lost : agents_.take_lost_agents()) {
        log_event(log_level::warn, component, "agent lost", {{"agent", lost.name}});
        engine_.agent_gone(lost);
    }
    engine_.tick();
    request_router_.tick();
    has_left_ = ownership_.has_left();
    is_ready_ = !ownership_.table().partitions.empty() && fleet_config_.revision() > 0;
    update_gauges();
}

void entry_daemon::update_gauges() {
    metrics_.waiting_tasks.set(static_cast<std::int64_t>(engine_.waiting_tasks()));
    metrics_.connections.set(
        static_cast<std::int64_t>(agents_.connected_agents().size() + entries_.connected().size()));
    std::int64_t owned = 0;
    for (partition_id p = 0; p < partition_count; ++p)
        owned += ownership_.owns(p, clock_.now()) ? 1 : 0;
    metrics_.partitions_owned.set(owned);
}

bool entry_daemon::in_force() const {
    if (!engine_.has_lease())
        return false;
    const std::vector<std::string>& grantors = ownership_.table().grantors;
    std::size_t current = 0;
    for (const agent_status& agent : agents_.statuses()) {
        const bool grants = std::find(grantors.begin(), grantors.end(), agent.agent.name) != grantors.end();
        if (grants && agent.revision >= fleet_config_.revision())
            ++current;
    }
    return 2 * current > grantors.size();
}

entry_status entry_daemon::status() {
    std::promise<entry_status> promise;
    asio::post(control_, [this, &promise] {
        entry_status status;
        const owner_table& table = ownership_.table();
        status.name = self_.name;
        status.revision = fleet_config_.revision();
        status.version = table.version;
        status.in_force = in_force();
        status.draining = is_draining_;
        status.active_jobs = engine_.active_jobs();
        status.waiting_tasks = engine_.waiting_tasks();
        status.agents = agents_.statuses();
        for (std::size_t p = 0; p < table.partitions.size(); ++p) {
            if (ownership_.owns(static_cast<partition_id>(p), clock_.now()))
                ++status.partitions;
        }
        promise.set_value(std::move(status));
    });
    return promise.get_future().get();
}

} // namespace persimmonstile
