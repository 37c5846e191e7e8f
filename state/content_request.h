#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Asks a peer for its owner table and its fleet configuration. The peer sends each only if it is newer than
// the version given here.
struct content_request {
    std::uint64_t known_version = 0;
    std::uint64_t known_revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&content_request::known_version, &content_request::known_revision);
    }
};

} // namespace persimmonstile
