#pragma once

#include "state/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <asio.hpp>

namespace persimmonstile::soak {

// Passes TCP connections on to another address of this machine, and harms them when told to.
class fault_proxy {
public:
    // Bytes towards the server, or back to the client.
    enum class direction : std::uint8_t { to_server, to_client };

    // Both addresses are "ip:port". Throws std::exception if the own one cannot be bound.
    fault_proxy(asio::io_context& context, const std::string& address, const std::string& target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    // Bytes of all connections arrive this much later, in both directions.
    void set_delay(milliseconds delay);
    // Bytes in this direction are held back, those of new connections too, until it is opened again.
    void set_cut(direction way, bool is_cut);
    // Open connections pass nothing on any more, and are not closed; new ones work.
    void silence_open();
    // Resets the open connections.
    void reset_open();
    // New connections are closed at once.
    void set_refusing(bool is_refusing);
    // Ends delays, cuts and refusals. Connections that were silenced stay silent.
    void heal();

    std::size_t open_connections() const;

private:
    class connection;
    struct rules;

    void accept();

    asio::io_context& context_;
    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<rules> rules_;
};

} // namespace persimmonstile::soak
