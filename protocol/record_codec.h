#pragma once

#include "protocol/msgpack_adaptor.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmonstile {

// MessagePack form of a structure or variant.
template <typename T> std::string encode_record(const T& value) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

// Empty if the bytes are malformed or of another type.
template <typename T> std::optional<T> decode_record(std::string_view bytes) {
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        T value;
        handle.get().convert(value);
        return value;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    } catch (const msgpack::type_error&) {
        return std::nullopt;
    }
}

} // namespace persimmonstile
