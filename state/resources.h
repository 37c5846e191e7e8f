#pragma once

#include <cstdint>
#include <tuple>

namespace persimmonstile {

// Amounts of the resources that a task needs or a backend server has. A difference of two amounts may be
// negative.
struct resources {
    // Thousandths of a processor core.
    std::int64_t cpu_millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t gpus = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other) {
        cpu_millicores += other.cpu_millicores;
        memory_mb += other.memory_mb;
        gpus += other.gpus;
        return *this;
    }

    resources& operator-=(const resources& other) {
        cpu_millicores -= other.cpu_millicores;
        memory_mb -= other.memory_mb;
        gpus -= other.gpus;
        return *this;
    }

    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }

    friend resources operator*(const resources& value, std::int64_t count) {
        return {value.cpu_millicores * count, value.memory_mb * count, value.gpus * count};
    }

    bool fits_in(const resources& available) const {
        return cpu_millicores <= available.cpu_millicores && memory_mb <= available.memory_mb &&
               gpus <= available.gpus;
    }

    static constexpr auto members() {
        return std::make_tuple(&resources::cpu_millicores, &resources::memory_mb, &resources::gpus);
    }
};

} // namespace persimmonstile
