#pragma once

#include <array>
#include <cstddef>

namespace persimmonstile {

// Learns how often the capacity that an agent reported is taken by other entries before a run of this entry
// arrives. Two consecutive reports of the same agent show it, whether or not this entry sends a run. The
// frequency depends on how many runs of other entries are expected to have started since the report, and on
// how many runs fit in the reported capacity.
class shortage_table {
public:
    shortage_table();

    // Records two consecutive reports of an agent. `slots` is the number of runs of typical size that fitted
    // in the first one, and is_short tells that the second one had no capacity for another run.
    void observe(double expected_starts, double slots, bool is_short);

    // Probability that a run finds no capacity, if `slots` runs fit in the reported capacity less what this
    // entry has sent since.
    double probability(double expected_starts, double slots) const;

private:
    // Bounds between the rows, in expected starts of other entries.
    static constexpr std::array<double, 8> row_bounds{0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6};
    static constexpr std::size_t columns = 8;

    static std::size_t row_of(double expected_starts);
    static std::size_t column_of(double slots);

    std::array<std::array<double, columns>, row_bounds.size() + 1> probability_{};
};

} // namespace persimmonstile
