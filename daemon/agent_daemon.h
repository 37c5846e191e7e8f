#pragma once

#include "coordination/agent_task_table.h"
#include "coordination/grantor.h"
#include "daemon/entry_links.h"
#include "daemon/latest_fleet_config.h"
#include "daemon/peer_dialer.h"
#include "daemon/peer_session.h"
#include "protocol/daemon_settings.h"
#include "state/clock_source.h"
#include "transport/backend_client.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"
#include "transport/tracing.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {

// An agent process on the same machine as one backend server. It runs the tasks that owners dispatch to it,
// and grants leases to owners. The task table and the grantor have separate locks.
class agent_daemon {
public:
    // Binds the HTTP address. Throws std::exception if it cannot be bound.
    agent_daemon(daemon_settings settings, const clock_source& clock);
    ~agent_daemon();
    agent_daemon(const agent_daemon&) = delete;
    agent_daemon& operator=(const agent_daemon&) = delete;

    const std::string& http_address() const { return http_->address(); }

    // Starts the graceful shutdown: new tasks are refused, running ones finish.
    void begin_shutdown();
    // True when no task is running, the last reports are sent and all connections are closed. The first call
    // that finds no task running starts to close them.
    bool is_drained();
    void stop();

private:
    void open_session(const std::shared_ptr<peer_session>& session);
    void receive(const std::shared_ptr<peer_session>& session, frame_kind kind, std::string_view payload);
    void receive_task(const peer_session& session, const task_message& message);
    void receive_control(const std::shared_ptr<peer_session>& session, const control_message& message);
    void entry_hello_received(const std::shared_ptr<peer_session>& session, const entry_hello& hello);
    void table_received(const table_push& push, frame_connection& connection);
    void pong_received(const view_pong& pong, frame_connection& connection);
    void config_received(const std::string& content);
    void connection_closed(const std::shared_ptr<peer_session>& session);

    // Applies one event to the task table under its lock and performs the resulting actions.
    template <typename Event> void apply_event(Event event);
    void process_ended_calls(const std::vector<backend_client::ended_call>& ended);
    void perform(agent_actions actions);
    void count_reports(const task_reports& reports);
    void begin_spans(backend_call& call);
    void end_spans(const backend_call& call, const backend_result& result);
    agent_departure departure() const;
    void send_status();
    void update_dialed_addresses();
    void schedule_tick();
    void tick();

    void handle_http(const http_request& request, const http_responder& respond);
    http_response handle_get(const std::string& path) const;
    http_response handle_announcement(const std::string& body);

    daemon_settings settings_;
    const clock_source& clock_;
    incarnation self_;
    daemon_metrics metrics_;
    tracer tracer_;
    latest_fleet_config fleet_config_;
    entry_links entries_;
    mutable std::mutex tasks_mutex_;
    agent_task_table tasks_;
    std::mutex grantor_mutex_;
    grantor grantor_;
    io_threads io_;
    asio::strand<asio::io_context::executor_type> control_;
    asio::steady_timer tick_timer_;
    peer_dialer dialer_;
    std::unique_ptr<backend_client> backends_;
    std::unique_ptr<http_server> http_;
    // Spans of one running task: its time at the agent, and within it the call to the backend server.
    struct task_spans {
        trace_span agent;
        trace_span call;
    };
    std::mutex spans_mutex_;
    std::map<std::pair<job_id, task_index>, task_spans> spans_;
    time_point last_ping_{};
    std::atomic<bool> is_draining_{false};
    std::atomic<bool> is_closing_{false};
    std::atomic<bool> is_recorded_{false};
    // Number of events whose actions are being performed.
    std::atomic<int> events_in_progress_{0};
    bool is_stopped_ = false;
};

} // namespace persimmonstile
