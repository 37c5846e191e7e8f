#include "transport/frame_connector.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// A lost connection must be replaced within a second, also when the first attempt fails.
constexpr std::chrono::milliseconds min_pause{50};
constexpr std::chrono::milliseconds max_pause{500};
// A machine without power drops the opening packet, which the system would repeat only after a second. The
// longest way between areas is a tenth of this.
constexpr std::chrono::milliseconds connect_timeout{250};

} // namespace

frame_connector::frame_connector(asio::io_context& context, ip_endpoint address, connect_handler on_connect)
    : strand_{asio::make_strand(asio::any_io_executor{context.get_executor()})}
    , socket_{strand_}
    , timer_{strand_}
    , address_{std::move(address)}
    , on_connect_{std::move(on_connect)}
    , pause_{min_pause} {}

void frame_connector::start() {
    asio::post(strand_, [self = shared_from_this()] { self->connect(); });
}

void frame_connector::connection_lost() {
    asio::post(strand_, [self = shared_from_this()] { self->retry(); });
}

void frame_connector::stop() {
    asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
        asio::error_code ignored;
        self->socket_.close(ignored);
        self->on_connect_ = nullptr;
    });
}

void frame_connector::connect() {
    if (stopped_)
        return;
    socket_ = asio::ip::tcp::socket{strand_};
    timer_.expires_after(connect_timeout);
    timer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error) {
        asio::error_code ignored;
        if (!error)
            self->socket_.close(ignored);
    }));
    const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(address_.address), address_.port};
    socket_.async_connect(endpoint,
                          asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error) {
                              self->timer_.cancel();
                              if (self->stopped_)
                                  return;
                              if (error || !self->socket_.is_open()) {
                                  self->retry();
                                  return;
                              }
                              self->pause_ = min_pause;
                              self->on_connect_(std::move(self->socket_));
                          }));
}

void frame_connector::retry() {
    if (stopped_)
        return;
    timer_.expires_after(pause_);
    pause_ = std::min(2 * pause_, max_pause);
    timer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error) {
        if (!error)
            self->connect();
    }));
}

} // namespace persimmonstile
