#include "protocol/work_codec.h"

#include "protocol/record_codec.h"

namespace persimmonstile {

std::string encode_work_message(const work_message& message) {
    return encode_record(message);
}

std::optional<work_message> decode_work_message(std::string_view bytes) {
    return decode_record<work_message>(bytes);
}

} // namespace persimmonstile
