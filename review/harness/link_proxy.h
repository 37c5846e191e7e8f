#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile::review {

// Passes TCP connections on to another address. The first bytes of a connection tell who opened it, so that
// the links between two machines can be cut or reset without harm to others.
class link_proxy {
public:
    // Whether the first bytes that the client sent come from one of the machines that are meant.
    using selector = std::function<bool(const std::string& first_bytes)>;

    // Both addresses are "ip:port". Throws std::exception if the own one cannot be bound.
    link_proxy(asio::io_context& context, const std::string& address, const std::string& target);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    // From now on nothing passes on the selected connections, open and new ones.
    void cut(selector selected);
    // What was held back passes on; connections whose client has gone meanwhile are closed.
    void heal();
    // Resets the selected connections that are open now. Returns their number.
    int reset(const selector& selected);

private:
    class connection;
    struct rules;

    void accept();

    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<rules> rules_;
};

} // namespace persimmonstile::review
