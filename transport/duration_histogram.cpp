#include "transport/duration_histogram.h"

#include <algorithm>

#include <boost/histogram/make_histogram.hpp>
#include <fmt/format.h>

namespace persimmonstile {

using seconds_value = std::chrono::duration<double>;

duration_histogram::shard::shard()
    : histogram{make_histogram()} {}

duration_histogram::duration_histogram(std::string name, std::string help)
    : metric_family{std::move(name), std::move(help)} {}

duration_histogram::histogram_type duration_histogram::make_histogram() {
    return histogram_type{std::tuple{log_axis{bucket_count, shortest.count(), longest.count()}}};
}

void duration_histogram::record(std::chrono::nanoseconds duration) {
    // The logarithmic axis has no place for 0 and below, which it would count as longer than its end.
    const seconds_value placed = std::max(seconds_value{duration}, shortest);
    shard& part = shards_[metric_shard()];
    const std::lock_guard lock{part.mutex};
    part.histogram(placed.count());
    part.sum += std::max(duration, std::chrono::nanoseconds{0});
}

duration_histogram::snapshot duration_histogram::merge() const {
    snapshot merged{make_histogram()};
    for (const shard& part : shards_) {
        const std::lock_guard lock{part.mutex};
        merged.histogram += part.histogram;
        merged.sum += part.sum;
    }
    return merged;
}

std::uint64_t duration_histogram::count() const {
    const snapshot merged = merge();
    std::uint64_t total = 0;
    for (int i = -1; i <= static_cast<int>(bucket_count); ++i) {
        total += merged.histogram.at(i);
    }
    return total;
}

std::chrono::duration<double> duration_histogram::quantile(double share) const {
    const snapshot merged = merge();
    std::uint64_t total = 0;
    for (int i = -1; i <= static_cast<int>(bucket_count); ++i) {
        total += merged.histogram.at(i);
    }
    if (total == 0) {
        return seconds_value{0};
    }
    std::uint64_t cumulative = merged.histogram.at(-1);
    for (int i = 0; i < static_cast<int>(bucket_count); ++i) {
        cumulative += merged.histogram.at(i);
        if (static_cast<double>(cumulative) >= share * static_cast<double>(total)) {
            return seconds_value{merged.histogram.axis().bin(i).upper()};
        }
    }
    return longest;
}

void duration_histogram::append_text(std::string& text) const {
    const snapshot merged = merge();
    append_header(text, "histogram");
    std::uint64_t cumulative = merged.histogram.at(-1);
    for (int i = 0; i < static_cast<int>(bucket_count); ++i) {
        cumulative += merged.histogram.at(i);
        text += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {}\n", name(), merged.histogram.axis().bin(i).upper(),
                            cumulative);
    }
    cumulative += merged.histogram.at(static_cast<int>(bucket_count));
    text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name(), cumulative,
                        merged.sum.count());
}

} // namespace persimmonstile
