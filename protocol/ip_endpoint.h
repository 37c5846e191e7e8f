#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// An IP number and a port, as written "127.0.0.1:80" or "[::1]:80".
struct ip_endpoint {
    // Without brackets.
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const ip_endpoint&) const = default;
};

// Nothing if the text is not "ip:port" with an IP number and a port from 0 to 65535.
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

// "ip:port", with brackets around an IPv6 number.
std::string to_string(const ip_endpoint& endpoint);

// True for "http://ip:port" or "https://ip:port", optionally followed by a path. The port is not 0.
bool is_ip_url(std::string_view text);

} // namespace persimmonstile
