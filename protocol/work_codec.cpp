#include "protocol/work_codec.h"

#include "protocol/record_codec.h"

#include <variant>

namespace persimmonstile {

std::string encode_work_message(const work_message& message) {
    return encode_record(message);
}

std::optional<work_message> decode_work_message(std::string_view bytes) {
    return decode_record<work_message>(bytes);
}

bool is_work_message_of_later_version(std::string_view bytes) {
    const auto message = decode_record<msgpack::object>(bytes);
    if (!message || message->type != msgpack::type::ARRAY || message->via.array.size != 2)
        return false;
    const msgpack::object& index = message->via.array.ptr[0];
    return index.type == msgpack::type::POSITIVE_INTEGER &&
           index.via.u64 >= std::variant_size_v<work_message>;
}

} // namespace persimmonstile
