#include "protocol/task_codec.h"

#include "protocol/msgpack_adaptor.h"
#include "protocol/unpack_limits.h"

namespace persimmonstile {

std::string encode_task_message(const task_message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

std::variant<task_message, decode_error> decode_task_message(std::string_view bytes) {
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpack_limits(bytes.size()));
        task_message message;
        handle.get().convert(message);
        return message;
    } catch (const msgpack::unpack_error& error) {
        return decode_error{std::string{"malformed MessagePack: "} + error.what()};
    } catch (const msgpack::type_error& error) {
        return decode_error{std::string{"unexpected MessagePack type: "} + error.what()};
    }
}

} // namespace persimmonstile
