#include "daemon/store_router.h"

#include "transport/logging.h"

#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "store";

// Consecutive failed direct calls after which calls are relayed through a peer.
constexpr unsigned failures_before_relay = 2;

constexpr milliseconds probe_interval{500};
constexpr milliseconds probe_timeout{300};
// Extra time allowed for a relayed call beyond the timeout of the call itself.
constexpr milliseconds relay_margin{30};

} // namespace

store_router::store_router(const clock_source& clock, external_interfaces interfaces, std::string probe_key)
    : clock_{clock}
    , interfaces_{std::move(interfaces)}
    , probe_key_{std::move(probe_key)} {}

void store_router::call(const store_call& request, milliseconds timeout, store_reply_handler on_reply) {
    if (direct_failing_since_ && relay(request, timeout, on_reply))
        return;
    call_directly(request, timeout, std::move(on_reply));
}

void store_router::call_directly(const store_call& request, milliseconds timeout,
                                 store_reply_handler on_reply) {
    interfaces_.direct(request, timeout,
                       [this, request, timeout, on_reply = std::move(on_reply)](const store_reply& reply) {
                           const auto* failure = std::get_if<store_failure>(&reply);
                           if (failure == nullptr) {
                               consecutive_failures_ = 0;
                               if (direct_failing_since_) {
                                   direct_failing_since_.reset();
                                   log_event(log_level::info, component, "store answers direct calls again");
                               }
                               on_reply(reply);
                               return;
                           }
                           if (++consecutive_failures_ >= failures_before_relay && !direct_failing_since_) {
                               direct_failing_since_ = clock_.now();
                               last_probe_ = clock_.now();
                               log_event(log_level::warn, component,
                                         "store does not answer direct calls; relaying calls through peers",
                                         {{"detail", failure->detail}});
                           }
                           // A call that was certainly not applied can be made again through a peer. A
                           // refusal arrives immediately, so little time is lost.
                           if (failure->may_have_applied || !relay(request, timeout, on_reply))
                               on_reply(reply);
                       });
}

bool store_router::relay(const store_call& request, milliseconds timeout,
                         const store_reply_handler& on_reply) {
    const std::vector<link_number> peers = interfaces_.peers();
    if (peers.empty())
        return false;
    const std::uint64_t token = ++last_token_;
    pending_relays_[token] = {on_reply, clock_.now() + timeout + relay_margin};
    interfaces_.send(peers[next_peer_++ % peers.size()], relayed_store_call{token, timeout.count(), request});
    return true;
}

void store_router::serve_peer(link_number link, const relayed_store_call& request) {
    const std::uint64_t token = request.token;
    interfaces_.direct(request.call, request.timeout(), [this, link, token](const store_reply& reply) {
        interfaces_.send(link, relayed_store_reply{token, reply});
    });
}

void store_router::process_relayed_reply(const relayed_store_reply& reply) {
    const auto found = pending_relays_.find(reply.token);
    if (found == pending_relays_.end())
        return;
    const store_reply_handler on_reply = std::move(found->second.on_reply);
    pending_relays_.erase(found);
    on_reply(reply.reply);
}

void store_router::tick() {
    const time_point now = clock_.now();
    std::vector<store_reply_handler> expired;
    for (auto it = pending_relays_.begin(); it != pending_relays_.end();) {
        if (now < it->second.expires_at) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.on_reply));
        it = pending_relays_.erase(it);
    }
    for (const store_reply_handler& on_reply : expired)
        on_reply(store_failure{"no answer through a peer", true});
    if (direct_failing_since_ && now - last_probe_ >= probe_interval)
        probe();
}

void store_router::probe() {
    last_probe_ = clock_.now();
    call_directly(store_read{probe_key_}, probe_timeout, [](const store_reply&) {});
}

} // namespace persimmonstile
