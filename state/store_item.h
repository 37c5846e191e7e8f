#pragma once

#include "state/stored_record.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// A key of the store with its value. revision is the one of the latest change; 0 means that the key does not
// exist.
struct store_item {
    std::string key;
    stored_record value;
    std::uint64_t revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&store_item::key, &store_item::value, &store_item::revision);
    }
};

} // namespace persimmonstile
