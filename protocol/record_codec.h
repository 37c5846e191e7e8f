#pragma once

#include "protocol/msgpack_adaptor.h"
#include "protocol/unpack_limits.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// MessagePack form of a structure or variant.
template <typename T> std::string encode_record(const T& value) {
    // Kept, because a new one takes several kilobytes each time.
    thread_local msgpack::sbuffer buffer;
    buffer.clear();
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

// Empty if the bytes are malformed or of another type.
template <typename T> std::optional<T> decode_record(std::string_view bytes) {
    try {
        // Kept as well. Texts in it refer to the bytes, which live as long as this call.
        thread_local msgpack::zone zone;
        zone.clear();
        const auto refer = [](msgpack::type::object_type, std::size_t, void*) {
            return true;
        };
        const msgpack::object read =
            msgpack::unpack(zone, bytes.data(), bytes.size(), refer, nullptr, unpack_limits(bytes.size()));
        T value;
        read.convert(value);
        return value;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    } catch (const msgpack::type_error&) {
        return std::nullopt;
    }
}

} // namespace persimmonstile
