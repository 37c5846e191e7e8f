#include "transport/frame_connection.h"
#include "transport/system_clock_source.h"
#include "transport/unidentified_connections.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

// Both ends of connections on one context. The peer's end is a plain socket.
class frame_connection_test : public testing::Test {
protected:
    struct link {
        std::shared_ptr<frame_connection> connection;
        asio::ip::tcp::socket peer;
        std::string reason;
    };

    std::unique_ptr<link> connect() {
        asio::ip::tcp::socket peer{context_};
        peer.connect(acceptor_.local_endpoint());
        auto result = std::make_unique<link>(
            link{std::make_shared<frame_connection>(acceptor_.accept(), clock_), std::move(peer), {}});
        result->connection->start([](frame_kind, std::string_view) {},
                                  [to = result.get()](const std::string& reason) { to->reason = reason; });
        return result;
    }

    // Sends from the peer what arrives within the time.
    void send(link& from, const std::string& bytes) {
        asio::async_write(from.peer, asio::buffer(bytes), [](asio::error_code, std::size_t) {});
        context_.restart();
        context_.run_for(200ms);
    }

    static std::string frame(std::size_t size) {
        std::string bytes;
        for (unsigned shift = 0; shift < 32; shift += 8)
            bytes.push_back(static_cast<char>((size >> shift) & 0xffU));
        bytes.push_back(static_cast<char>(frame_kind::work));
        return bytes + std::string(size, 'x');
    }

    asio::io_context context_;
    system_clock_source clock_;
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
};

// Guards against a buffer of the size of the largest frame that is kept for a few bytes behind it.
TEST_F(frame_connection_test, frees_the_buffer_of_a_large_frame) {
    const auto open = connect();
    send(*open, frame(1));
    send(*open, frame(8 * mebibyte) + "abc");
    EXPECT_EQ(open->reason, "");
    EXPECT_GT(open->connection->bytes_received(), 8 * mebibyte);
    EXPECT_LT(open->connection->incomplete_capacity(), mebibyte);
}

// Guards against frames for peers that do not read and that fill the memory, of one connection or of many.
TEST_F(frame_connection_test, closes_connections_whose_peers_do_not_read) {
    const std::string payload(mebibyte, 'x');
    std::vector<std::unique_ptr<link>> open;
    for (std::size_t i = 0; i < 11; ++i) {
        open.push_back(connect());
        for (std::size_t sent = 0; sent < (i == 0 ? 60 : 15); ++sent)
            open.back()->connection->send(frame_kind::work, payload);
    }
    const auto other = connect();
    other->connection->send(frame_kind::work, "a");
    context_.run_for(200ms);
    EXPECT_EQ(open.front()->reason, "the peer does not read its frames");
    EXPECT_EQ(open.back()->reason, "the peer does not read its frames");
    EXPECT_EQ(other->reason, "");
    // A frame of the largest size is sent once the others are closed.
    open.clear();
    context_.restart();
    context_.run_for(50ms);
    other->connection->send(frame_kind::work, std::string(16 * mebibyte, 'x'));
    context_.restart();
    context_.run_for(50ms);
    EXPECT_EQ(other->reason, "");
}

// Guards against peers that send a valid frame and use up the descriptors.
TEST_F(frame_connection_test, refuses_accepted_connections_beyond_the_limit) {
    unidentified_connections accepted{2};
    auto first = connect();
    const auto second = connect();
    const auto third = connect();
    EXPECT_TRUE(accepted.add(first->connection));
    EXPECT_TRUE(accepted.add(second->connection));
    send(*first, frame(1));
    EXPECT_TRUE(first->connection->is_identified());
    EXPECT_FALSE(accepted.add(third->connection));
    first->connection->close("");
    context_.run_for(50ms);
    first.reset();
    EXPECT_TRUE(accepted.add(third->connection));
}

} // namespace
} // namespace persimmonstile
