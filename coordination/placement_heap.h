#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonstile {

// Binary min-heap of numbered elements whose keys can change. Equal keys are ordered by the tie breaker.
class placement_heap {
public:
    // Inserts the element or changes its key.
    void update(std::uint32_t id, double key, std::uint32_t tie_breaker) {
        if (id >= positions_.size())
            positions_.resize(id + std::size_t{1}, absent);
        std::uint32_t position = positions_[id];
        if (position == absent) {
            position = static_cast<std::uint32_t>(nodes_.size());
            nodes_.push_back(node{});
        }
        nodes_[position] = {key, tie_breaker, id};
        positions_[id] = position;
        sift_down(sift_up(position));
    }

    void remove(std::uint32_t id) {
        if (id >= positions_.size() || positions_[id] == absent)
            return;
        const std::uint32_t position = positions_[id];
        positions_[id] = absent;
        const node last = nodes_.back();
        nodes_.pop_back();
        if (position == nodes_.size())
            return;
        nodes_[position] = last;
        positions_[last.id] = position;
        sift_down(sift_up(position));
    }

    std::optional<std::uint32_t> top() const {
        if (nodes_.empty())
            return std::nullopt;
        return nodes_.front().id;
    }

private:
    struct node {
        double key = 0;
        std::uint32_t tie_breaker = 0;
        std::uint32_t id = 0;
    };

    static constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();

    bool less(std::uint32_t a, std::uint32_t b) const {
        return std::pair{nodes_[a].key, nodes_[a].tie_breaker} <
               std::pair{nodes_[b].key, nodes_[b].tie_breaker};
    }

    void swap_nodes(std::uint32_t a, std::uint32_t b) {
        std::swap(nodes_[a], nodes_[b]);
        positions_[nodes_[a].id] = a;
        positions_[nodes_[b].id] = b;
    }

    std::uint32_t sift_up(std::uint32_t position) {
        while (position > 0) {
            const std::uint32_t parent = (position - 1) / 2;
            if (!less(position, parent))
                break;
            swap_nodes(position, parent);
            position = parent;
        }
        return position;
    }

    void sift_down(std::uint32_t position) {
        while (true) {
            std::uint32_t smallest = position;
            for (std::uint32_t child = 2 * position + 1; child <= 2 * position + 2; ++child) {
                if (child < nodes_.size() && less(child, smallest))
                    smallest = child;
            }
            if (smallest == position)
                return;
            swap_nodes(position, smallest);
            position = smallest;
        }
    }

    std::vector<node> nodes_;
    std::vector<std::uint32_t> positions_;
};

} // namespace persimmonstile
