#pragma once

#include "coordination/agent_output.h"
#include "daemon/input_shares.h"
#include "daemon/peer_dialer.h"
#include "state/clock_source.h"
#include "state/work_message.h"
#include "transport/frame_connection.h"
#include "transport/frame_listener.h"
#include "transport/unidentified_connections.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// Sends and receives work messages over a daemon's connections to its peers, and numbers these connections.
// All calls are made on the thread that runs the context.
class peer_links {
public:
    // Called on the thread that runs the context.
    struct handlers {
        // dialed_address is empty for accepted connections.
        std::function<void(link_number link, const std::string& dialed_address)> opened;
        std::function<void(link_number link)> closed;
        std::function<void(link_number link, const work_message& message)> received;
    };

    peer_links(asio::io_context& context, const clock_source& clock, handlers on_event);

    // Accepts connections at "ip:port". Throws std::system_error if the address cannot be bound.
    void listen(const std::string& address);
    // Maintains a connection to each of these addresses. Connections to other addresses stay open until they
    // are lost.
    void set_dialed_addresses(std::set<std::string> addresses);

    // A message to a closed link is dropped. The peer learns what it missed when it connects again.
    void send(link_number link, const work_message& message);
    void close(link_number link, const std::string& reason);
    // Stops listening and dialing. Closes all connections after their queued messages are written.
    void stop();

    std::size_t bytes_sent() const { return bytes_sent_; }

private:
    void open(const std::shared_ptr<frame_connection>& connection, const std::string& dialed_address);
    void closed(link_number link, const std::string& reason);
    void update_dialer();

    asio::io_context& context_;
    const clock_source& clock_;
    handlers on_event_;
    std::unique_ptr<frame_listener> listener_;
    unidentified_connections unidentified_{max_peer_connections()};
    peer_dialer dialer_;
    // An open connection.
    struct open_link {
        std::shared_ptr<frame_connection> connection;
        // Empty for accepted connections.
        std::string dialed_address;
    };
    std::map<link_number, open_link> links_;
    std::set<std::string> requested_addresses_;
    // Addresses with a connector, which reconnects when the connection is lost.
    std::set<std::string> dialed_addresses_;
    link_number last_link_ = 0;
    std::size_t bytes_sent_ = 0;
};

} // namespace persimmonstile
