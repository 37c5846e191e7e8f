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

// Keeps one outgoing connection to each of a changing set of addresses.
class peer_dialer {
public:
    // Called with each new connection; the handler starts it. It must call lost() with the same address when
    // the connection closes.
    using connect_handler =
        std::function<void(const std::string& address, std::shared_ptr<frame_connection>)>;

    peer_dialer(asio::io_context& context, const clock_source& clock, connect_handler on_connect);

    // Dials the addresses that are new and forgets those that are no longer named. Malformed ones are left
    // out.
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
