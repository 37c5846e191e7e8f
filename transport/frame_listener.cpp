#include "transport/frame_listener.h"

#include <utility>

namespace persimmonstile {

frame_listener::frame_listener(asio::io_context& context, const ip_endpoint& address,
                               accept_handler on_accept)
    : acceptor_{context, asio::ip::tcp::endpoint{asio::ip::make_address(address.address), address.port}}
    , on_accept_{std::move(on_accept)} {}

void frame_listener::start() {
    accept_next();
}

void frame_listener::stop() {
    asio::post(acceptor_.get_executor(), [this] {
        asio::error_code ignored;
        acceptor_.close(ignored);
    });
}

ip_endpoint frame_listener::local_address() const {
    const auto endpoint = acceptor_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void frame_listener::accept_next() {
    acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error)
            on_accept_(std::move(socket));
        accept_next();
    });
}

} // namespace persimmonstile
