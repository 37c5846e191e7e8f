#pragma once

#include "state/time.h"
#include "transport/http_answer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace persimmonstile {

// A request of an HTTP client.
struct http_client_request {
    std::string method = "GET";
    // "http://ip:port/path"
    std::string url;
    // Lines of the form "Name: value".
    std::vector<std::string> headers;
    std::string body;
    // Bound on the whole request, and on making a connection.
    milliseconds timeout{1000};
    milliseconds connect_timeout{300};
};

// Makes HTTP/1.1 requests within an Asio context, on the thread that runs it. Connections are kept and
// reused; one on which an answer is missing is closed. A request is sent once at most: what becomes of one
// without an answer is for the caller to decide.
class http_client {
public:
    using handler = std::function<void(http_answer)>;

    // Bound on open connections; further requests wait for one to become free.
    http_client(asio::io_context& context, std::size_t connections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // on_answer is called once, never within this call, unless the client is destroyed before.
    void send(const http_client_request& request, handler on_answer);

    std::size_t open_requests() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace persimmonstile
