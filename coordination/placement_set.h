#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>
#include <vector>

namespace persimmonstile {

// Set of numbered elements with insertion, removal and uniformly random choice in constant time.
class placement_set {
public:
    void insert(std::uint32_t id) {
        if (id >= positions_.size())
            positions_.resize(id + std::size_t{1}, absent);
        if (positions_[id] != absent)
            return;
        positions_[id] = static_cast<std::uint32_t>(ids_.size());
        ids_.push_back(id);
    }

    void remove(std::uint32_t id) {
        if (id >= positions_.size() || positions_[id] == absent)
            return;
        const std::uint32_t last = ids_.back();
        ids_[positions_[id]] = last;
        positions_[last] = positions_[id];
        positions_[id] = absent;
        ids_.pop_back();
    }

    bool empty() const { return ids_.empty(); }

    // The set must not be empty. The modulo of the 64-bit number is biased by less than 2^-32, which is
    // negligible here.
    std::uint32_t random_element(std::mt19937_64& random) const { return ids_[random() % ids_.size()]; }

private:
    static constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();

    std::vector<std::uint32_t> ids_;
    std::vector<std::uint32_t> positions_;
};

} // namespace persimmonstile
