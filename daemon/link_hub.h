#pragma once

#include "coordination/agent_output.h"
#include "daemon/peer_dialer.h"
#include "state/clock_source.h"
#include "state/work_message.h"
#include "transport/frame_connection.h"
#include "transport/frame_listener.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// The connections of a daemon to its peers, numbered, with work messages in and out. Everything happens on
// the thread that runs the context.
class link_hub {
public:
    struct handlers {
        std::function<void(link_number link, bool is_dialed)> opened;
        std::function<void(link_number link)> closed;
        std::function<void(link_number link, const work_message& message)> received;
    };

    link_hub(asio::io_context& context, const clock_source& clock, handlers on_event);

    // Accepts connections at "ip:port". Throws std::system_error if it cannot be bound.
    void listen(const std::string& address);
    // Keeps a connection to each of these addresses. Those to others stay until they break.
    void set_dialed(std::set<std::string> addresses);

    // Messages to a closed link are dropped; its peer learns what it missed when it connects again.
    void send(link_number link, const work_message& message);
    void close(link_number link, const std::string& reason);
    // Writes what is queued and closes all connections.
    void stop();

    std::size_t bytes_sent() const { return bytes_sent_; }

private:
    void open(const std::shared_ptr<frame_connection>& connection, const std::string& dialed_address);
    void closed(link_number link, const std::string& reason);
    void dial();

    asio::io_context& context_;
    const clock_source& clock_;
    handlers on_event_;
    std::unique_ptr<frame_listener> listener_;
    peer_dialer dialer_;
    struct open_link {
        std::shared_ptr<frame_connection> connection;
        // Empty for accepted connections.
        std::string dialed_address;
    };
    std::map<link_number, open_link> links_;
    std::set<std::string> wanted_;
    // Addresses with a connector, which makes a new connection when the present one is lost.
    std::set<std::string> dialed_;
    link_number last_link_ = 0;
    std::size_t bytes_sent_ = 0;
};

} // namespace persimmonstile
