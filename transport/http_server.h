#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonstile {

// A received HTTP request. path is percent-decoded as the client sent it, query still encoded.
struct http_request {
    std::string method;
    std::string path;
    std::string query;
    std::string traceparent;
    std::string body;
};

struct http_header {
    std::string name;
    std::string value;
};

struct http_response {
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::vector<http_header> headers;
    std::string body;
};

// Takes the response to one request. May be called once, from any thread, at any later time.
using http_responder = std::function<void(http_response)>;

using http_handler = std::function<void(http_request, http_responder)>;

// Bounds on what clients may use up.
struct http_limits {
    std::size_t max_body_bytes = 0;
    std::size_t max_connections = 4096;
    // Time for a client to send a whole request, and to read the response.
    std::chrono::milliseconds read_timeout{10000};
    std::chrono::milliseconds write_timeout{10000};
};

// HTTP/1.1 server on RESTinio with threads of its own.
class http_server {
public:
    // address is "ip:port". Throws std::exception if it cannot be bound.
    http_server(const std::string& address, std::size_t threads, const http_limits& limits,
                http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // "ip:port" with the port that the system chose if 0 was asked for.
    const std::string& address() const { return address_; }
    // Requests whose response has not been written completely.
    std::size_t open_requests() const;
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
    std::string address_;
};

} // namespace persimmonstile
