#include "coordination/placement/shortage_table.h"

#include <algorithm>

namespace persimmonstile {

namespace {

// Weight of a pair of reports in its cell. An entry with 60 agents gets about 900 pairs per second for 72
// cells, so a cell follows a change of load within a few seconds.
constexpr double pair_weight = 0.02;

} // namespace

// Without observations, each expected start of another entry takes one slot with even odds.
shortage_table::shortage_table() {
    for (std::size_t row = 0; row < probability_.size(); ++row) {
        const double starts = row_bounds[std::min(row, row_bounds.size() - 1)];
        for (std::size_t column = 0; column < columns; ++column)
            probability_[row][column] = std::min(1.0, 0.5 * starts / static_cast<double>(column + 1));
    }
}

std::size_t shortage_table::row_of(double expected_starts) {
    return static_cast<std::size_t>(std::lower_bound(row_bounds.begin(), row_bounds.end(), expected_starts) -
                                    row_bounds.begin());
}

// The first column is for less than two slots.
std::size_t shortage_table::column_of(double slots) {
    return static_cast<std::size_t>(std::clamp(slots - 1, 0.0, static_cast<double>(columns - 1)));
}

void shortage_table::observe(double expected_starts, double slots, bool is_short) {
    double& cell = probability_[row_of(expected_starts)][column_of(slots)];
    cell += pair_weight * ((is_short ? 1.0 : 0.0) - cell);
}

double shortage_table::probability(double expected_starts, double slots) const {
    return probability_[row_of(expected_starts)][column_of(slots)];
}

} // namespace persimmonstile
