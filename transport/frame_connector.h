#pragma once

#include "protocol/ip_endpoint.h"

#include <functional>
#include <memory>

#include <asio.hpp>

namespace persimmonstile {

// Keeps one connection to an address: connects, and connects again after connection_lost(), with a growing
// pause that is reset by a connection that was made.
class frame_connector : public std::enable_shared_from_this<frame_connector> {
public:
    using connect_handler = std::function<void(asio::ip::tcp::socket)>;

    frame_connector(asio::io_context& context, ip_endpoint address, connect_handler on_connect);

    void start();
    void connection_lost();
    void stop();
    const ip_endpoint& address() const { return address_; }

private:
    void connect();
    void retry();

    asio::strand<asio::any_io_executor> strand_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    ip_endpoint address_;
    connect_handler on_connect_;
    std::chrono::milliseconds pause_;
    bool stopped_ = false;
};

} // namespace persimmonstile
