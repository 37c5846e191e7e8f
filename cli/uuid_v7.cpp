#include "cli/uuid_v7.h"

#include <array>
#include <chrono>
#include <stdexcept>

#include <fmt/format.h>
#include <openssl/rand.h>

namespace persimmonstile {

namespace {

constexpr std::uint64_t time_mask = 0xffffffffffffULL;
constexpr std::uint64_t random_a_mask = 0xfff;
constexpr std::uint64_t version_bits = 0x7000;
constexpr std::uint64_t random_b_mask = 0x3fffffffffffffffULL;
constexpr std::uint64_t variant_bits = 0x8000000000000000ULL;
constexpr std::uint64_t low_48_bits = 0xffffffffffffULL;

} // namespace

std::string make_uuid_v7(wall_time now, std::uint64_t random_high, std::uint64_t random_low) {
    const auto since_epoch = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    const std::uint64_t time = static_cast<std::uint64_t>(since_epoch) & time_mask;
    const std::uint64_t version_and_random = version_bits | (random_high & random_a_mask);
    const std::uint64_t low = variant_bits | (random_low & random_b_mask);
    return fmt::format("{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU, version_and_random,
                       low >> 48U, low & low_48_bits);
}

std::string make_uuid_v7(wall_time now) {
    std::array<std::uint64_t, 2> random{};
    if (RAND_bytes(reinterpret_cast<unsigned char*>(random.data()), sizeof(random)) != 1) {
        throw std::runtime_error("the system has no random bytes");
    }
    return make_uuid_v7(now, random[0], random[1]);
}

} // namespace persimmonstile
