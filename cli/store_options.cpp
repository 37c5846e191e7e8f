#include "cli/store_options.h"

#include <array>
#include <cstdint>
#include <random>
#include <stdexcept>

#include <openssl/rand.h>
#include <unistd.h>

namespace persimmonstile {

std::unique_ptr<etcd_store> open_store(const parsed_arguments& line, const clock_source& clock) {
    etcd_store_settings settings;
    settings.endpoints = line.options["store"].as<std::vector<std::string>>();
    settings.request_timeout = milliseconds{number_option(line, "store-timeout-ms")};
    return std::make_unique<etcd_store>(std::move(settings), clock, std::random_device{}());
}

void add_store_options(cxxopts::Options& options) {
    options.add_options()("store", "base URLs of the store, separated by commas",
                          cxxopts::value<std::vector<std::string>>())(
        "cell", "name of the cell", cxxopts::value<std::string>()->default_value("default"))(
        "store-timeout-ms", "time limit of one request to the store", number_value(2000))("json",
                                                                                          "print JSON");
}

std::optional<int> check_store_options(const cxxopts::Options& options, const parsed_arguments& line,
                                       command_output output) {
    if (line.options.count("store") == 0)
        return print_usage_error(options, "--store is required", output);
    return std::nullopt;
}

std::string new_operation_id() {
    std::array<unsigned char, 16> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error{"no random bytes for an operation id"};
    constexpr std::string_view hex = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes) {
        text += hex[byte >> 4U];
        text += hex[byte & 0xfU];
    }
    return text;
}

std::string writer_name() {
    std::array<char, 256> host{};
    gethostname(host.data(), host.size() - 1);
    return std::string{host.data()} + ":" + std::to_string(getpid());
}

} // namespace persimmonstile
