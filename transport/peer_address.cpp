#include "transport/peer_address.h"

#include <charconv>

#include <asio.hpp>

namespace persimmonstile {

std::optional<peer_address> parse_peer_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    peer_address address;
    address.ip = std::string{ip};
    asio::error_code error;
    asio::ip::make_address(address.ip, error);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error || digits.empty() || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return std::nullopt;
    return address;
}

std::string to_string(const peer_address& address) {
    const bool v6 = address.ip.find(':') != std::string::npos;
    const std::string ip = v6 ? "[" + address.ip + "]" : address.ip;
    return ip + ":" + std::to_string(address.port);
}

} // namespace persimmonstile
