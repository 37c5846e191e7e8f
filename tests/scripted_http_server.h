#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {

// A request as a scripted_http_server received it.
struct scripted_request {
    std::string method;
    std::string target;
    std::string body;
};

// What it answers. headers are whole lines with their line ends.
struct scripted_answer {
    int status = 200;
    std::string headers;
    std::string body;
};

// HTTP/1.1 server on 127.0.0.1 that answers each request with the result of a function. The function is
// called from one thread per connection.
class scripted_http_server {
public:
    using handler = std::function<scripted_answer(const scripted_request&)>;

    explicit scripted_http_server(handler answer)
        : answer_(std::move(answer))
        , acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
        , thread_([this] { accept(); }) {}

    ~scripted_http_server() {
        stopped_ = true;
        asio::ip::tcp::socket wake{context_};
        wake.connect(acceptor_.local_endpoint());
        thread_.join();
        for (const auto& socket : sockets_) {
            std::error_code ignored;
            socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        }
        for (std::thread& connection : connections_) {
            connection.join();
        }
    }

    scripted_http_server(const scripted_http_server&) = delete;
    scripted_http_server& operator=(const scripted_http_server&) = delete;

    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void accept() {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
            acceptor_.accept(*socket);
            if (stopped_) {
                return;
            }
            sockets_.push_back(socket);
            connections_.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(asio::ip::tcp::socket& socket) {
        std::string buffer;
        std::error_code error;
        while (true) {
            const std::size_t head_size =
                asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
            if (error) {
                return;
            }
            const std::string head = buffer.substr(0, head_size);
            buffer.erase(0, head_size);
            scripted_request request;
            request.method = head.substr(0, head.find(' '));
            const std::size_t target = head.find(' ') + 1;
            request.target = head.substr(target, head.find(' ', target) - target);
            const std::size_t length = content_length(head);
            if (buffer.size() < length) {
                asio::read(socket, asio::dynamic_buffer(buffer),
                           asio::transfer_exactly(length - buffer.size()), error);
            }
            request.body = buffer.substr(0, length);
            buffer.erase(0, length);
            const scripted_answer answer = answer_(request);
            const std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) +
                                      " x\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n" +
                                      answer.headers + "\r\n" + answer.body;
            asio::write(socket, asio::buffer(bytes), error);
            if (error) {
                return;
            }
        }
    }

    static std::size_t content_length(const std::string& head) {
        const std::string name = "Content-Length: ";
        const std::size_t found = head.find(name);
        return found == std::string::npos ? 0 : std::stoul(head.substr(found + name.size()));
    }

    handler answer_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopped_{false};
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace persimmonstile
