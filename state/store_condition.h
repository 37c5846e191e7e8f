#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace persimmonstile {

// Condition of a store_write: the latest change of the key has this revision. 0 means that the key must not
// exist.
struct store_condition {
    std::string key;
    std::uint64_t revision = 0;

    bool operator==(const store_condition&) const = default;

    static constexpr auto members() {
        return std::make_tuple(&store_condition::key, &store_condition::revision);
    }
};

} // namespace persimmonstile
