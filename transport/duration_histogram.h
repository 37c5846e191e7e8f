#pragma once

#include "transport/metric_family.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <tuple>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>

namespace persimmonstile {

// Distribution of durations on a logarithmic axis from 10 us to 100 s; shorter and longer ones are counted in
// the first and the last bucket. Thread-safe.
class duration_histogram : public metric_family {
public:
    // 20 buckets for each factor of 10 make neighbouring bounds differ by 12%, so that a percentile shows a
    // change of the size that the response time aims (1.05 and 1.3 of the ideal) are about.
    static constexpr unsigned buckets_per_decade = 20;
    static constexpr std::chrono::duration<double> shortest{1e-5};
    static constexpr std::chrono::duration<double> longest{100.0};
    static constexpr unsigned bucket_count = 7 * buckets_per_decade;

    duration_histogram(std::string name, std::string help);

    void record(std::chrono::nanoseconds duration);

    std::uint64_t count() const;

    // Upper bound of the bucket that holds the given share (0 to 1) of the durations; 0 if there are none.
    // For durations longer than the axis this is its end.
    std::chrono::duration<double> quantile(double share) const;

    void append_text(std::string& text) const override;

private:
    using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<log_axis>, boost::histogram::dense_storage<std::uint64_t>>;

    struct snapshot {
        histogram_type histogram;
        std::chrono::duration<double> sum{0};
    };

    // A lock for each shard: a thread shares its shard only if there are more threads than shards, and a
    // reader holds one lock at a time.
    struct alignas(cache_line_bytes) shard {
        shard();

        mutable std::mutex mutex;
        histogram_type histogram;
        std::chrono::nanoseconds sum{0};
    };

    static histogram_type make_histogram();
    snapshot merge() const;

    std::array<shard, metric_shard_count> shards_;
};

} // namespace persimmonstile
