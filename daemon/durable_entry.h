#pragma once

#include "coordination/connection_shedder.h"
#include "coordination/entry_core.h"
#include "coordination/overload_detector.h"
#include "coordination/presence/pause_detector.h"
#include "daemon/entry_metrics.h"
#include "daemon/peer_links.h"
#include "daemon/store_router.h"
#include "protocol/daemon_settings.h"
#include "state/clock_source.h"
#include "state/deployment_config.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <asio.hpp>

namespace persimmonstile {

// Decodes the configuration from the operators' records as of the given store revision. previous is the
// configuration in use, or null. Returns nullptr if the records hold no usable configuration.
using config_decoder = std::function<std::shared_ptr<const deployment_config>(
    const std::map<std::string, store_item>& records, std::uint64_t revision,
    const deployment_config* previous)>;

// An entry that records its durable jobs in the store. Connects entry_core, which makes the decisions, to
// callers, peers, store and clock. Not thread-safe: all work runs on the thread that runs the context.
class durable_entry {
public:
    using reply_handler = std::function<void(const caller_reply&)>;

    struct external_interfaces {
        store_caller store;
        config_decoder decode_config;
        // Store key prefix of the operators' records.
        std::string config_prefix;
        // Closes the connections of callers that have left, which calls caller_left() for their requests, and
        // returns the number of connections. May be empty.
        std::function<std::size_t()> close_abandoned = {};
    };

    // Binds the peer address. Throws std::exception if that fails.
    durable_entry(asio::io_context& context, const daemon_settings& settings, const entry_limits& limits,
                  const clock_source& clock, external_interfaces interfaces);

    // Submits a job. on_reply is called at most once. Returns the token of the request, for caller_left().
    caller_token submit(job_submission request, reply_handler on_reply);
    // The caller's connection is closed. Its handler will not be called.
    void caller_left(caller_token token);
    // If the process was suspended or is far behind with its events, drops the requests of callers that have
    // left meanwhile and the jobs whose time is over. Done before each event of the entry, and to be called
    // before held requests are served.
    void catch_up_after_pause();
    void query_state(const job_id& job, time_point answer_by, reply_handler on_reply);
    void cancel(const job_id& job, time_point answer_by, reply_handler on_reply);
    std::optional<std::uint64_t> pending(const std::string& queue) const { return core_.pending(queue); }

    const deployment_config* config() const { return core_.config(); }
    // True if new connections should be opened to this entry: it can serve requests and is not overloaded.
    bool is_ready() const { return core_.is_ready() && !is_overloaded(); }
    bool is_overloaded() const { return overload_.is_overloaded(); }
    // True if the connection should be closed after the answer that is sent now, so that the caller opens a
    // new one. If the entry is overloaded, a true result uses up the closing interval: no other connection is
    // closed during it.
    bool should_close_connection() {
        return core_.is_shutting_down() || shedding_.should_close(is_overloaded(), clock_.now());
    }
    const entry_core& core() const { return core_; }
    // The current metrics in the Prometheus text format.
    std::string metrics_text();

    // Refuses new jobs once refuse_after has passed, and hands over the open jobs once hand_over_delay has
    // passed. Both times count from this call.
    void begin_shutdown(milliseconds refuse_after, milliseconds hand_over_delay);
    // Answers all waiting callers with an uncertain outcome. Called when the process is about to exit.
    void answer_waiting_callers();
    // True once the entry has left its session and all requests are answered or their callers have left.
    bool is_drained() const { return core_.has_left() && open_requests_.empty(); }
    void stop();

private:
    void handle_event(const std::function<void()>& event);
    void catch_up();
    void perform_output();
    void schedule_wakeup();
    void schedule_load_probe();
    void record_load_probe(time_point due);
    void call_store(const store_request& request);
    void received(link_number link, const work_message& message);
    void update_peer_connections();

    asio::io_context& context_;
    const clock_source& clock_;
    external_interfaces interfaces_;
    entry_core core_;
    peer_links links_;
    store_router store_;
    asio::steady_timer wakeup_timer_;
    // When wakeup_timer_ fires. The empty value means that no timer is set.
    time_point wakeup_due_{};
    // Fires at a fixed interval. Its lateness shows how long events wait to be processed.
    asio::steady_timer load_probe_timer_;
    overload_detector overload_;
    pause_detector pauses_;
    bool is_dropping_callers_ = false;
    connection_shedder shedding_;
    std::string own_address_;
    caller_token last_token_ = 0;
    struct open_request {
        reply_handler on_reply;
        time_point arrived{};
    };
    std::unordered_map<caller_token, open_request> open_requests_;
    entry_metrics metrics_;
    std::set<std::string> dialed_addresses_;
    std::uint64_t members_version_ = 0;
    bool is_flushing_ = false;
    bool is_stopped_ = false;
};

} // namespace persimmonstile
