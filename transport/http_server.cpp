#include "transport/http_server.h"

#include "protocol/ip_endpoint.h"
#include "transport/http_server_loop.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

#include <asio.hpp>

namespace persimmonstile {

namespace {

constexpr std::chrono::milliseconds accept_retry_delay{20};

} // namespace

const std::string& http_request::header(const std::string& name) const {
    static const std::string none;
    for (const http_header& kept : headers) {
        if (kept.name == name)
            return kept.value;
    }
    return none;
}

class http_server::implementation {
public:
    using tcp_socket = http_server_connection::tcp_socket;

    implementation(const ip_endpoint& address, std::size_t threads, const http_limits& limits,
                   http_handler handler)
        : shared_handler_{std::move(handler)} {
        // Each thread has its own connections, so that they need no locks.
        http_limits share = limits;
        share.max_connections = std::max<std::size_t>(1, limits.max_connections / threads);
        share.max_held_bytes = limits.max_held_bytes / threads;
        for (std::size_t i = 0; i < threads; ++i)
            loops_.push_back(std::make_shared<http_server_loop>(std::make_shared<asio::io_context>(1), share,
                                                                shared_handler_, http_close_handler{},
                                                                open_requests_));
        listen(address);
        for (const auto& loop : loops_) {
            guards_.push_back(asio::make_work_guard(loop->context()));
            loop->start();
            threads_.emplace_back([loop] { loop->context().run(); });
        }
    }

    implementation(asio::io_context& context, const ip_endpoint& address, const http_limits& limits,
                   http_handler handler, http_close_handler on_close) {
        const std::shared_ptr<asio::io_context> not_owned{std::shared_ptr<void>{}, &context};
        loops_.push_back(std::make_shared<http_server_loop>(not_owned, limits, std::move(handler),
                                                            std::move(on_close), open_requests_));
        listen(address);
        loops_.front()->start();
    }

    std::uint16_t port() const { return port_; }

    std::size_t open_requests() const { return *open_requests_; }

    std::size_t close_abandoned() { return loops_.front()->close_abandoned(); }

    void stop_accepting() {
        asio::error_code ignored;
        retry_->cancel();
        acceptor_->close(ignored);
    }

    void stop() {
        if (std::exchange(is_stopped_, true))
            return;
        guards_.clear();
        if (!threads_.empty()) {
            for (const auto& loop : loops_)
                loop->context().stop();
            for (std::thread& thread : threads_)
                thread.join();
        }
        stop_accepting();
        is_alive_.reset();
        for (const auto& loop : loops_)
            loop->stop();
        // Handlers of cancelled operations hold their connections.
        if (!threads_.empty()) {
            for (const auto& loop : loops_) {
                loop->context().restart();
                loop->context().poll();
            }
        }
    }

private:
    void listen(const ip_endpoint& address) {
        const asio::ip::tcp::endpoint endpoint{asio::ip::make_address(address.address), address.port};
        acceptor_ = std::make_unique<acceptor>(loops_.front()->context().get_executor(), endpoint);
        retry_ = std::make_unique<asio::steady_timer>(loops_.front()->context());
        port_ = acceptor_->local_endpoint().port();
        accept_next();
    }

    void accept_next() {
        const std::shared_ptr<http_server_loop> loop = loops_[next_loop_++ % loops_.size()];
        acceptor_->async_accept(
            loop->context().get_executor(), [this, loop, is_alive = std::weak_ptr<bool>{is_alive_}](
                                                asio::error_code error, tcp_socket socket) {
                if (error == asio::error::operation_aborted || is_alive.expired())
                    return;
                if (!error) {
                    asio::dispatch(loop->context().get_executor(),
                                   [loop, id = ++last_connection_, socket = std::move(socket)]() mutable {
                                       loop->accepted(std::move(socket), id);
                                   });
                }
                // Not a lack of descriptors, for which accept_failed() closes a connection.
                if (!acceptor_->is_open())
                    return;
                if (!error) {
                    accept_next();
                    return;
                }
                accept_failed(loop);
            });
    }

    // Without a free descriptor, the next attempt would fail at once as well. Closing a connection frees one.
    void accept_failed(const std::shared_ptr<http_server_loop>& loop) {
        asio::dispatch(loop->context().get_executor(), [loop] {
            loop->refused(input_refusal::not_accepted);
            loop->close_one();
        });
        retry_->expires_after(accept_retry_delay);
        retry_->async_wait([this, is_alive = std::weak_ptr<bool>{is_alive_}](asio::error_code error) {
            if (!error && !is_alive.expired() && acceptor_->is_open())
                accept_next();
        });
    }

    using acceptor = asio::basic_socket_acceptor<asio::ip::tcp, http_server_connection::executor>;

    std::shared_ptr<std::atomic<std::size_t>> open_requests_ = std::make_shared<std::atomic<std::size_t>>(0);
    // Copied to each loop of a server with threads of its own.
    http_handler shared_handler_;
    std::vector<std::shared_ptr<http_server_loop>> loops_;
    std::vector<asio::executor_work_guard<http_server_connection::executor>> guards_;
    std::vector<std::thread> threads_;
    std::unique_ptr<acceptor> acceptor_;
    std::unique_ptr<asio::steady_timer> retry_;
    std::uint16_t port_ = 0;
    std::uint64_t last_connection_ = 0;
    std::size_t next_loop_ = 0;
    bool is_stopped_ = false;
    // Handlers of operations that were done just before the end are called after it.
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

namespace {

ip_endpoint parse_address(const std::string& address) {
    const std::optional<ip_endpoint> parsed = parse_ip_endpoint(address);
    if (!parsed)
        throw std::invalid_argument("not an ip:port address: " + address);
    return *parsed;
}

} // namespace

http_server::http_server(const std::string& address, std::size_t threads, const http_limits& limits,
                         http_handler handler) {
    ip_endpoint bound = parse_address(address);
    implementation_ = std::make_unique<implementation>(bound, threads, limits, std::move(handler));
    bound.port = implementation_->port();
    address_ = to_string(bound);
}

http_server::http_server(asio::io_context& context, const std::string& address, const http_limits& limits,
                         http_handler handler, http_close_handler on_close) {
    ip_endpoint bound = parse_address(address);
    implementation_ =
        std::make_unique<implementation>(context, bound, limits, std::move(handler), std::move(on_close));
    bound.port = implementation_->port();
    address_ = to_string(bound);
}

http_server::~http_server() {
    stop();
}

std::size_t http_server::open_requests() const {
    return implementation_->open_requests();
}

std::size_t http_server::close_abandoned() {
    return implementation_->close_abandoned();
}

void http_server::stop_accepting() {
    implementation_->stop_accepting();
}

void http_server::stop() {
    implementation_->stop();
}

} // namespace persimmonstile
