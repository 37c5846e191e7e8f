#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace persimmonstile {

struct http_header {
    std::string name;
    std::string value;
};

// A received HTTP request. path is percent-decoded as the client sent it, query still encoded.
struct http_request {
    std::string method;
    std::string path;
    std::string query;
    std::string traceparent;
    // Tells the connections of one server apart.
    std::uint64_t connection = 0;
    // Those of http_limits::kept_headers that the request has.
    std::vector<http_header> headers;
    std::string body;
    // The client had closed the connection when the request was read.
    bool client_has_left = false;

    // The value of a kept header; empty if the request does not have it.
    const std::string& header(const std::string& name) const;
};

struct http_response {
    std::uint16_t status = 200;
    std::string content_type = "application/json";
    std::vector<http_header> headers;
    std::string body;
    // Ask the client to use another connection from now on.
    bool closes_connection = false;
};

// Takes the response to one request. May be called once, from any thread, at any later time.
using http_responder = std::function<void(http_response)>;

using http_handler = std::function<void(http_request, http_responder)>;

// Told when a connection is closed; requests of it may still wait for their response, which nobody gets then.
using http_close_handler = std::function<void(std::uint64_t connection)>;

// Bounds on what clients may use up.
struct http_limits {
    std::size_t max_body_bytes = 0;
    // Beyond this, the connection is closed that has been without progress for longest.
    std::size_t max_connections = 4096;
    // Of requests that are received or handled, and responses that are not yet written, of all connections.
    std::size_t max_held_bytes = std::size_t{256} * 1024 * 1024;
    // Time for a client to send a whole request, and to read the response.
    std::chrono::milliseconds read_timeout{10000};
    std::chrono::milliseconds write_timeout{10000};
    // Longest pause within a request.
    std::chrono::milliseconds progress_timeout{10000};
    // Names of the request headers that the handler reads.
    std::vector<std::string> kept_headers;
};

// HTTP/1.1 server. Refuses requests and closes connections that exceed its limits.
class http_server {
public:
    // With threads of its own. address is "ip:port". Throws std::exception if it cannot be bound.
    http_server(const std::string& address, std::size_t threads, const http_limits& limits,
                http_handler handler);
    // On the thread that runs the context, which must be the calling one.
    http_server(asio::io_context& context, const std::string& address, const http_limits& limits,
                http_handler handler, http_close_handler on_close = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // "ip:port" with the port that the system chose if 0 was asked for.
    const std::string& address() const { return address_; }
    // Requests whose response has not been written completely, without those that nobody answers any more.
    std::size_t open_requests() const;
    // Closes the connections whose clients have left while a request of theirs is handled. The close handler
    // is told as usual, before this returns. Returns their number. Only for a server on a context of the
    // caller.
    std::size_t close_abandoned();
    // Takes no more connections; those that are open go on. Only for a server on a context of the caller.
    void stop_accepting();
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
    std::string address_;
};

} // namespace persimmonstile
