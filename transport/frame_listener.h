#pragma once

#include "protocol/ip_endpoint.h"

#include <functional>
#include <memory>

#include <asio.hpp>

namespace persimmonstile {

// Accepts TCP connections from other processes of the system.
class frame_listener {
public:
    using accept_handler = std::function<void(asio::ip::tcp::socket)>;

    // Throws std::system_error if the address cannot be bound.
    frame_listener(asio::io_context& context, const ip_endpoint& address, accept_handler on_accept);

    void start();
    void stop();
    // The bound address, with the port that the system chose if 0 was asked for.
    ip_endpoint local_address() const;

private:
    void accept_next();

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    accept_handler on_accept_;
};

} // namespace persimmonstile
