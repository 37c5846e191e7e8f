#pragma once

#include "coordination/agent_output.h"
#include "state/clock_source.h"
#include "state/relayed_store_call.h"
#include "state/relayed_store_reply.h"
#include "state/store_call.h"
#include "state/store_reply.h"
#include "state/work_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonstile {

using store_reply_handler = std::function<void(const store_reply&)>;

// Starts a call to the store. The handler is called exactly once, after this function has returned. It gets
// store_failure if the timeout expires.
using store_caller =
    std::function<void(const store_call& call, milliseconds timeout, store_reply_handler on_reply)>;

// Makes an entry's calls to the store: directly, or relayed through a peer while the store does not answer
// this process but may answer others. A call may be made both ways, because every write is conditional and
// takes effect at most once.
class store_router {
public:
    struct external_interfaces {
        store_caller direct;
        // Links to the peers that can relay calls for this process.
        std::function<std::vector<link_number>()> peers;
        std::function<void(link_number link, const work_message& message)> send;
    };

    // While direct calls fail, probe_key is read periodically to find out whether the store answers again.
    store_router(const clock_source& clock, external_interfaces interfaces, std::string probe_key);

    void call(const store_call& request, milliseconds timeout, store_reply_handler on_reply);

    // Makes a direct call for a peer and sends it the reply.
    void serve_peer(link_number link, const relayed_store_call& request);
    // Handles a peer's reply to a relayed call.
    void process_relayed_reply(const relayed_store_reply& reply);
    // Fails relayed calls whose timeout has expired, and probes the store if direct calls fail. Must be
    // called at least every 100 ms.
    void tick();

    bool is_direct() const { return !direct_failing_since_; }

private:
    struct pending_relay {
        store_reply_handler on_reply;
        time_point expires_at{};
    };

    void call_directly(const store_call& request, milliseconds timeout, store_reply_handler on_reply);
    bool relay(const store_call& request, milliseconds timeout, const store_reply_handler& on_reply);
    void probe();

    const clock_source& clock_;
    external_interfaces interfaces_;
    std::string probe_key_;
    std::uint64_t last_token_ = 0;
    std::map<std::uint64_t, pending_relay> pending_relays_;
    std::size_t next_peer_ = 0;
    unsigned consecutive_failures_ = 0;
    std::optional<time_point> direct_failing_since_;
    time_point last_probe_{};
};

} // namespace persimmonstile
