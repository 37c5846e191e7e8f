// Client that sends what no well-behaved client sends, for tests/input_limits_test.sh.
//   input_flood store ADDRESS                              serves a store with one queue, "short"
//   input_flood crowd KIND ADDRESS COUNT TARGET BYTES      opens COUNT connections, each sends about BYTES
// A crowd prints "settled" when every connection has sent everything or was closed, and stays until SIGTERM.
// KIND: announced, endless, large_chunks, small_chunks, silent, slow_head, frames.

#include "standins/caller_wire.h"
#include "standins/kv_server.h"
#include "transport/system_clock_source.h"

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {
namespace {

constexpr std::size_t piece_bytes = std::size_t{16} * 1024;
// Ends the wait for a server that neither reads nor closes.
constexpr std::chrono::seconds stalled_after{4};
// Keeps frame connections from being closed as silent.
constexpr std::chrono::milliseconds trickle_interval{300};

struct crowd_plan {
    std::string kind;
    asio::ip::tcp::endpoint server;
    std::size_t count = 0;
    std::string target;
    std::size_t bytes = 0;
};

std::string http_head(const crowd_plan& plan, const std::string& framing) {
    return plan.target + " HTTP/1.1\r\nHost: short.example\r\n" + framing + "\r\n";
}

std::string first_bytes(const crowd_plan& plan) {
    if (plan.kind == "silent")
        return {};
    if (plan.kind == "slow_head")
        return plan.target + " HTTP/1.1\r\nHost: short.example\r\nX-Slow: ";
    if (plan.kind == "announced")
        return http_head(plan, "Content-Length: 67108864\r\n");
    if (plan.kind == "frames") {
        // 15 MiB, below the limit on payloads; kind 0.
        const std::size_t length = std::size_t{15} * 1024 * 1024;
        std::string header;
        for (unsigned shift = 0; shift < 32; shift += 8)
            header.push_back(static_cast<char>((length >> shift) & 0xffU));
        header.push_back('\0');
        return header;
    }
    return http_head(plan, "Transfer-Encoding: chunked\r\n");
}

// What is sent again and again until the connection has sent its bytes of body.
std::string repeated_piece(const crowd_plan& plan) {
    if (plan.kind == "silent" || plan.kind == "slow_head")
        return {};
    if (plan.kind == "small_chunks") {
        std::string piece;
        for (std::size_t i = 0; i < piece_bytes / 8; ++i)
            piece += "1\r\n \r\n";
        return piece;
    }
    if (plan.kind == "announced" || plan.kind == "frames")
        return std::string(piece_bytes, ' ');
    return "4000\r\n" + std::string(piece_bytes, ' ') + "\r\n";
}

class crowd {
public:
    crowd(asio::io_context& context, crowd_plan plan)
        : context_{context}
        , plan_{std::move(plan)}
        , first_{first_bytes(plan_)}
        , piece_{repeated_piece(plan_)}
        , body_per_piece_{plan_.kind == "small_chunks" ? piece_bytes / 8 : piece_bytes}
        , timer_{context} {}

    void start() {
        for (std::size_t i = 0; i < plan_.count; ++i) {
            auto next = std::make_shared<member>(context_);
            members_.push_back(next);
            next->socket.async_connect(plan_.server, [this, next](asio::error_code error) {
                if (error)
                    finish(*next);
                else
                    send_first(next);
            });
        }
        last_progress_ = std::chrono::steady_clock::now();
        watch();
    }

private:
    struct member {
        explicit member(asio::io_context& context)
            : socket{context} {}
        asio::ip::tcp::socket socket;
        std::size_t body_sent = 0;
        bool is_finished = false;
    };

    void send_first(const std::shared_ptr<member>& next) {
        asio::async_write(next->socket, asio::buffer(first_),
                          [this, next](asio::error_code error, std::size_t) {
                              if (error || piece_.empty())
                                  finish(*next);
                              else
                                  send_piece(next);
                          });
    }

    void send_piece(const std::shared_ptr<member>& next) {
        if (next->body_sent + body_per_piece_ > plan_.bytes) {
            finish(*next);
            return;
        }
        asio::async_write(next->socket, asio::buffer(piece_),
                          [this, next](asio::error_code error, std::size_t) {
                              if (error) {
                                  finish(*next);
                                  return;
                              }
                              next->body_sent += body_per_piece_;
                              last_progress_ = std::chrono::steady_clock::now();
                              send_piece(next);
                          });
    }

    void finish(member& done) {
        last_progress_ = std::chrono::steady_clock::now();
        if (!std::exchange(done.is_finished, true))
            ++finished_;
    }

    void watch() {
        const bool is_stalled = std::chrono::steady_clock::now() - last_progress_ > stalled_after;
        if (!is_settled_ && (finished_ == plan_.count || is_stalled)) {
            is_settled_ = true;
            std::cout << "settled" << std::endl;
        }
        if (plan_.kind == "frames") {
            for (const auto& open : members_) {
                asio::error_code ignored;
                if (open->is_finished && open->socket.is_open()) {
                    open->socket.non_blocking(true, ignored);
                    open->socket.write_some(asio::buffer(" ", 1), ignored);
                }
            }
        }
        timer_.expires_after(trickle_interval);
        timer_.async_wait([this](asio::error_code error) {
            if (!error)
                watch();
        });
    }

    asio::io_context& context_;
    crowd_plan plan_;
    std::string first_;
    std::string piece_;
    std::size_t body_per_piece_;
    asio::steady_timer timer_;
    std::vector<std::shared_ptr<member>> members_;
    std::size_t finished_ = 0;
    bool is_settled_ = false;
    std::chrono::steady_clock::time_point last_progress_;
};

asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

int run(const std::vector<std::string>& args) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context{1};
    asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](asio::error_code, int) { context.stop(); });
    if (args.size() == 2 && args[0] == "store") {
        const system_clock_source clock;
        kv_server store{context, args[1], clock, 1};
        deployment_config config;
        config.version = 1;
        queue_policy queue;
        queue.name = "short";
        queue.host = "short.example";
        queue.path_prefix = "/short/";
        queue.service = "dispatch";
        queue.max_attempts = 3;
        queue.max_stretch = 1.6;
        queue.slack = milliseconds{60};
        config.queues.push_back(queue);
        store.model().put(config_record_key(), config_record(config));
        context.run();
        return 0;
    }
    if (args.size() == 6 && args[0] == "crowd") {
        crowd members{context,
                      {args[1], endpoint_of(args[2]), std::stoul(args[3]), args[4], std::stoul(args[5])}};
        members.start();
        context.run();
        return 0;
    }
    std::cerr << "see the comment at the top of tests/input_flood.cpp\n";
    return 2;
}

} // namespace
} // namespace persimmonstile

int main(int argc, char** argv) {
    try {
        return persimmonstile::run({argv + 1, argv + argc});
    } catch (const std::exception& error) {
        std::cerr << "input_flood: " << error.what() << '\n';
        return 1;
    }
}
