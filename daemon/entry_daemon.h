#pragma once

#include "coordination/ownership.h"
#include "daemon/agent_registry.h"
#include "daemon/entry_api.h"
#include "daemon/entry_links.h"
#include "daemon/input_shares.h"
#include "daemon/job_engine.h"
#include "daemon/latest_fleet_config.h"
#include "daemon/peer_dialer.h"
#include "daemon/peer_session.h"
#include "daemon/request_router.h"
#include "daemon/store_worker.h"
#include "protocol/daemon_settings.h"
#include "state/clock_source.h"
#include "transport/event_journal.h"
#include "transport/frame_listener.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"
#include "transport/tracing.h"
#include "transport/unidentified_connections.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// An entry process: accepts callers' requests over HTTP, owns partitions of the job id space and dispatches
// the tasks of their jobs. Ownership events run one at a time on the control strand. Job events run on any
// thread under the lock of their shard.
class entry_daemon {
public:
    // Binds both addresses. Throws std::exception if that fails.
    entry_daemon(daemon_settings settings, const clock_source& clock);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    const std::string& http_address() const { return http_->address(); }
    const std::string& peer_address() const { return peer_address_; }

    // Starts the graceful shutdown: hands the partitions over to other entries and answers waiting callers.
    void begin_shutdown();
    // True once the graceful shutdown is complete and the process may exit. The first call after all requests
    // are answered also starts to close the connections to other entries.
    bool is_drained();
    void stop();

private:
    void accept(asio::ip::tcp::socket socket);
    void open_session(const std::shared_ptr<peer_session>& session);
    void receive(const std::shared_ptr<peer_session>& session, frame_kind kind, std::string_view payload);
    void receive_task(peer_session& session, const task_message& message);
    void receive_control(const std::shared_ptr<peer_session>& session, const control_message& message);
    void connection_closed(const std::shared_ptr<peer_session>& session, const std::string& reason);

    // These functions run on the control strand, except stored_config_received() and handover_received().
    void agent_status_received(const agent_status& status,
                               const std::shared_ptr<frame_connection>& connection);
    void view_ping_received(const view_ping& ping, const incarnation& agent,
                            const std::shared_ptr<frame_connection>& connection);
    void agent_control_received(const control_message& message,
                                const std::shared_ptr<frame_connection>& connection);
    void perform(const ownership_actions& actions);
    void hand_over(const partition_handover& handover);
    void handover_received(const partition_handover& handover);
    void table_changed();
    void stored_config_received(const std::string& content);
    void config_received(const std::string& content);
    void tick();
    void schedule_tick();
    bool in_force() const;

    entry_status status();
    void update_gauges();

    daemon_settings settings_;
    const clock_source& clock_;
    incarnation self_;
    daemon_metrics metrics_;
    tracer tracer_;
    event_journal journal_;
    latest_fleet_config fleet_config_;
    agent_registry agents_;
    entry_links entries_;
    job_engine engine_;
    request_router request_router_;
    io_threads io_;
    asio::strand<asio::io_context::executor_type> control_;
    asio::steady_timer tick_timer_;
    unidentified_connections unidentified_{max_peer_connections()};
    frame_listener listener_;
    std::string peer_address_;
    peer_dialer dialer_;
    ownership ownership_;
    std::map<partition_id, partition_handover> handovers_;
    std::unique_ptr<store_worker> store_;
    std::unique_ptr<entry_api> api_;
    std::unique_ptr<http_server> http_;
    std::atomic<bool> is_draining_{false};
    std::atomic<bool> has_left_{false};
    std::atomic<bool> is_ready_{false};
    std::atomic<bool> is_closing_{false};
    bool is_stopped_ = false;
};

} // namespace persimmonstile
