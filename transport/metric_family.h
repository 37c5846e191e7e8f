#pragma once

#include <cstddef>
#include <string>

namespace persimmonstile {

// Updates are spread over this many cells, so that threads rarely write to the same cache line.
constexpr std::size_t metric_shard_count = 16;
constexpr std::size_t cache_line_bytes = 64;

// The shard of the calling thread. Threads take shards in turn.
std::size_t metric_shard();

// All time series under one metric name.
class metric_family {
public:
    metric_family(std::string name, std::string help)
        : name_{std::move(name)}
        , help_{std::move(help)} {}
    metric_family(const metric_family&) = delete;
    metric_family& operator=(const metric_family&) = delete;
    virtual ~metric_family() = default;

    // Appends the family in the Prometheus text format, version 0.0.4.
    virtual void append_text(std::string& text) const = 0;

protected:
    const std::string& name() const { return name_; }

    // type is counter, gauge or histogram.
    void append_header(std::string& text, const char* type) const;

private:
    std::string name_;
    std::string help_;
};

} // namespace persimmonstile
