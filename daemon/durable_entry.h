#pragma once

#include "coordination/connection_shedding.h"
#include "coordination/entry_core.h"
#include "coordination/overload_detector.h"
#include "daemon/entry_metrics.h"
#include "daemon/link_hub.h"
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

// Reads the operators' records, which are of this revision of the store. previous is the configuration in
// use, or null; nullptr if nothing usable is there.
using config_decoder = std::function<std::shared_ptr<const deployment_config>(
    const std::map<std::string, store_item>& records, std::uint64_t revision,
    const deployment_config* previous)>;

// An entry whose jobs are kept in the store: connects the decision logic with callers, peers, store and
// clock. Everything happens on the thread that runs the context.
class durable_entry {
public:
    using reply_handler = std::function<void(const caller_reply&)>;

    struct ports {
        store_caller store;
        config_decoder decode_config;
        // Prefix of the operators' records.
        std::string config_prefix;
    };

    // Binds the peer address. Throws std::exception if that fails.
    durable_entry(asio::io_context& context, const daemon_settings& settings, const entry_limits& limits,
                  const clock_source& clock, ports outside);

    // A caller's request, and the handler of its one reply.
    // Returns the token of the request, for caller_left.
    caller_token submit(job_submission request, reply_handler on_reply);
    // The caller's connection is gone; its handler is not called.
    void caller_left(caller_token token);
    void ask_state(const job_id& job, time_point answer_by, reply_handler on_reply);
    void cancel(const job_id& job, time_point answer_by, reply_handler on_reply);
    std::uint64_t pending(const std::string& queue) const { return core_.pending(queue); }

    const deployment_config* config() const { return core_.config(); }
    // New connections are welcome: the entry is able to serve, and has not more to do than it carries.
    bool is_ready() const { return core_.is_ready() && !is_overloaded(); }
    bool is_overloaded() const { return overload_.is_overloaded(); }
    // The caller whose answer is sent now is to use another connection from then on.
    bool wants_to_close_connection() {
        return core_.is_shutting_down() || shedding_.take_one(is_overloaded(), clock_.now());
    }
    const entry_core& core() const { return core_; }
    // The metrics as they are now, in the Prometheus text format.
    std::string metrics_text();

    // Refuses new jobs after the first time, and hands the open ones over after the second.
    void begin_shutdown(milliseconds refuse_after, milliseconds hand_over_after);
    // Answers the callers that still wait, because the process ends now.
    void answer_all();
    bool is_drained() const { return core_.has_left() && replies_.empty(); }
    void stop();

private:
    void run(const std::function<void()>& event);
    void flush();
    void schedule();
    void probe_load();
    void load_probed(time_point due);
    void call_store(const store_request& request);
    void received(link_number link, const work_message& message);
    void update_peers();

    asio::io_context& context_;
    const clock_source& clock_;
    ports outside_;
    entry_core core_;
    link_hub links_;
    store_router store_;
    asio::steady_timer timer_;
    time_point timer_due_{};
    // Fires at a fixed interval, whatever else there is to do.
    asio::steady_timer load_probe_;
    overload_detector overload_;
    connection_shedding shedding_;
    std::string own_address_;
    caller_token last_token_ = 0;
    struct open_request {
        reply_handler on_reply;
        time_point arrived{};
    };
    std::unordered_map<caller_token, open_request> replies_;
    entry_metrics metrics_;
    std::set<std::string> dialed_;
    std::uint64_t members_version_ = 0;
    bool is_flushing_ = false;
    bool is_stopped_ = false;
};

} // namespace persimmonstile
