#pragma once

#include <cstddef>

#include <msgpack.hpp>

namespace persimmonstile {

// Limits for MessagePack from outside. The announced number of elements is allocated before they are read,
// so it must not exceed the number of bytes; each element takes at least one. Messages nest about twelve
// levels.
inline msgpack::unpack_limit unpack_limits(std::size_t byte_count) {
    constexpr std::size_t max_depth = 32;
    return {byte_count, byte_count, byte_count, byte_count, byte_count, max_depth};
}

} // namespace persimmonstile
