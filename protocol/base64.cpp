#include "protocol/base64.h"

#include <openssl/evp.h>

namespace persimmonstile {

std::string encode_base64(std::string_view bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.empty())
        return std::string{};
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    // The function counts padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace persimmonstile
