#include "transport/frame_listener.h"

#include "transport/input_metrics.h"

#include <chrono>
#include <utility>

namespace persimmonstile {

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

frame_listener::frame_listener(asio::io_context& context, const ip_endpoint& address,
                               accept_handler on_accept)
    : acceptor_{context, asio::ip::tcp::endpoint{asio::ip::make_address(address.address), address.port}}
    , retry_{acceptor_.get_executor()}
    , on_accept_{std::move(on_accept)} {}

void frame_listener::start() {
    accept_next();
}

void frame_listener::stop() {
    asio::post(acceptor_.get_executor(), [this] {
        asio::error_code ignored;
        acceptor_.close(ignored);
        retry_.cancel();
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
        if (!error) {
            on_accept_(std::move(socket));
            accept_next();
            return;
        }
        // Without a free descriptor, the next attempt would fail at once as well and use up the processor.
        input_metrics::instance().add(input_refusal::not_accepted);
        retry_.expires_after(accept_retry_delay);
        retry_.async_wait([this](asio::error_code waited) {
            if (!waited && acceptor_.is_open())
                accept_next();
        });
    });
}

} // namespace persimmonstile
