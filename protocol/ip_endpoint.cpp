#include "protocol/ip_endpoint.h"

#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace persimmonstile {
namespace {

bool is_ip_number(int family, const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

} // namespace

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    ip_endpoint endpoint{std::string{address}, port};
    if (!is_ip_number(bracketed ? AF_INET6 : AF_INET, endpoint.address)) {
        return std::nullopt;
    }
    return endpoint;
}

std::string to_string(const ip_endpoint& endpoint) {
    const bool v6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = v6 ? "[" + endpoint.address + "]" : endpoint.address;
    return address + ":" + std::to_string(endpoint.port);
}

bool is_ip_url(std::string_view text) {
    for (const std::string_view scheme : {std::string_view{"http://"}, std::string_view{"https://"}}) {
        if (text.starts_with(scheme)) {
            const std::string_view rest = text.substr(scheme.size());
            const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(rest.substr(0, rest.find('/')));
            return endpoint && endpoint->port != 0;
        }
    }
    return false;
}

} // namespace persimmonstile
