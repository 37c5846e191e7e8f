#include "daemon/peer_dialer.h"

#include "protocol/ip_endpoint.h"

#include <utility>

namespace persimmonstile {

peer_dialer::peer_dialer(asio::io_context& context, const clock_source& clock, connect_handler on_connect)
    : context_{context}
    , clock_{clock}
    , on_connect_{std::move(on_connect)} {}

void peer_dialer::set_addresses(const std::set<std::string>& addresses) {
    const std::lock_guard lock{mutex_};
    for (auto it = connectors_.begin(); it != connectors_.end();) {
        if (addresses.contains(it->first)) {
            ++it;
            continue;
        }
        it->second->stop();
        it = connectors_.erase(it);
    }
    for (const std::string& address : addresses) {
        const std::optional<ip_endpoint> parsed = parse_ip_endpoint(address);
        if (!parsed || connectors_.contains(address))
            continue;
        auto connector = std::make_shared<frame_connector>(
            context_, *parsed, [this, address](asio::ip::tcp::socket socket) {
                on_connect_(address, std::make_shared<frame_connection>(std::move(socket), clock_));
            });
        connectors_.emplace(address, connector);
        connector->start();
    }
}

void peer_dialer::lost(const std::string& address) {
    const std::lock_guard lock{mutex_};
    const auto found = connectors_.find(address);
    if (found != connectors_.end())
        found->second->connection_lost();
}

void peer_dialer::stop() {
    set_addresses({});
}

} // namespace persimmonstile
