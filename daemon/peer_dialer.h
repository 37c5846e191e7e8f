#pragma once

#include "state/clock_source.h"
#include "transport/frame_connection.h"
#include "transport/frame_connector.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// Maintains one outgoing connection to each address of a set that may change.
class peer_dialer {
public:
    // Called with each new connection, which the handler has to start. Call lost() with the same address when
    // the connection closes.
    using connect_handler =
        std::function<void(const std::string& address, std::shared_ptr<frame_connection>)>;

    peer_dialer(asio::io_context& context, const clock_source& clock, connect_handler on_connect);

    // Replaces the set: dials new addresses and stops dialing removed ones. Malformed addresses are ignored.
    void set_addresses(const std::set<std::string>& addresses);
    void lost(const std::string& address);
    void stop();

private:
    asio::io_context& context_;
    const clock_source& clock_;
    connect_handler on_connect_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<frame_connector>> connectors_;
};

} // namespace persimmonstile
