#pragma once

#include <array>
#include <future>
#include <string>

#include <asio.hpp>

namespace persimmonstile {

// An HTTP server on a loopback port for one request at a time. serve() answers the next one in the
// background.
class one_shot_server {
public:
    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    // The future holds the request as it was received. status is for example "200 OK".
    std::future<std::string> serve(std::string status, std::string body = {}) {
        return std::async(std::launch::async, [this, status = std::move(status), body = std::move(body)] {
            asio::ip::tcp::socket socket = acceptor_.accept();
            std::string request = read_request(socket);
            const std::string head = "HTTP/1.1 " + status +
                                     "\r\nContent-Length: " + std::to_string(body.size()) +
                                     "\r\nConnection: close\r\n\r\n";
            asio::write(socket, asio::buffer(head + body));
            return request;
        });
    }

private:
    static std::string read_request(asio::ip::tcp::socket& socket) {
        const std::string length_name = "Content-Length: ";
        std::string received;
        std::size_t end = std::string::npos;
        while (received.size() < end) {
            std::array<char, 4096> part{};
            received.append(part.data(), socket.read_some(asio::buffer(part)));
            const std::size_t header_end = received.find("\r\n\r\n");
            if (header_end == std::string::npos) {
                continue;
            }
            const std::size_t length = received.find(length_name);
            end = header_end + 4;
            if (length != std::string::npos) {
                end += std::stoul(received.substr(length + length_name.size()));
            }
        }
        return received;
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
};

} // namespace persimmonstile
