#include "transport/frame_connector.h"

#include <array>
#include <chrono>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

// A listener whose queue of new connections is full, so that opening packets are dropped as if the machine
// had no power.
class deaf_listener {
public:
    explicit deaf_listener(asio::io_context& context)
        : acceptor_{context} {
        acceptor_.open(asio::ip::tcp::v4());
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen(0);
        // A queue of length 0 takes one connection.
        for (asio::ip::tcp::socket& filler : fillers_) {
            filler = asio::ip::tcp::socket{context};
            filler.async_connect(acceptor_.local_endpoint(), [](asio::error_code) {});
        }
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Accepts whatever comes from now on.
    void listen() {
        acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            accepted_.push_back(std::move(socket));
            listen();
        });
    }

private:
    asio::ip::tcp::acceptor acceptor_;
    asio::io_context unused_;
    std::array<asio::ip::tcp::socket, 2> fillers_{asio::ip::tcp::socket{unused_},
                                                  asio::ip::tcp::socket{unused_}};
    std::vector<asio::ip::tcp::socket> accepted_;
};

// Guards against a machine that has come back and stays without connections until the system repeats an
// opening packet, which takes a second.
TEST(frame_connector, tries_again_soon_after_a_lost_opening_packet) {
    constexpr auto repeated_by_system = 1000ms;
    asio::io_context context;
    deaf_listener listener{context};
    context.run_for(20ms);
    bool is_connected = false;
    const auto connector = std::make_shared<frame_connector>(
        context, ip_endpoint{"127.0.0.1", listener.port()}, [&](asio::ip::tcp::socket) {
            is_connected = true;
            context.stop();
        });
    const auto begin = std::chrono::steady_clock::now();
    connector->start();
    context.run_for(50ms);
    EXPECT_FALSE(is_connected);
    listener.listen();
    context.restart();
    context.run_for(repeated_by_system * 3);
    EXPECT_TRUE(is_connected);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, repeated_by_system);
    connector->stop();
    context.restart();
    context.poll();
}

} // namespace
} // namespace persimmonstile
