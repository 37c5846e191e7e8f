#pragma once

#include "state/stored_record.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// A key of the store with its value.
struct store_item {
    std::string key;
    stored_record value;
    // Store revision of the latest change of the key; 0 if the key does not exist.
    std::uint64_t revision = 0;

    static constexpr auto members() {
        return std::make_tuple(&store_item::key, &store_item::value, &store_item::revision);
    }
};

} // namespace persimmonstile
