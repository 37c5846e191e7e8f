#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// An IP number and a port.
struct peer_address {
    std::string ip;
    std::uint16_t port = 0;
};

// Parses "ip:port" (IPv6 numbers in brackets); nullopt if malformed.
std::optional<peer_address> parse_peer_address(std::string_view text);

std::string to_string(const peer_address& address);

} // namespace persimmonstile
