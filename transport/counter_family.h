#pragma once

#include "transport/metric_family.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace persimmonstile {

// One counter for each value of an enumeration with values 0 to LabelCount-1, whose text form by to_string()
// is the label. Thread-safe and lock-free.
template <typename Label, std::size_t LabelCount> class counter_family : public metric_family {
public:
    counter_family(std::string name, std::string help, std::string label_name)
        : metric_family{std::move(name), std::move(help)}
        , label_name_{std::move(label_name)} {}

    // A value beyond the enumeration, which a peer of another version may report, is not counted.
    void add(Label label, std::uint64_t amount = 1) {
        if (static_cast<std::size_t>(label) >= LabelCount)
            return;
        shards_[metric_shard()].values[static_cast<std::size_t>(label)].fetch_add(amount,
                                                                                  std::memory_order_relaxed);
    }

    std::uint64_t value(Label label) const {
        std::uint64_t total = 0;
        for (const shard& part : shards_) {
            total += part.values[static_cast<std::size_t>(label)].load(std::memory_order_relaxed);
        }
        return total;
    }

    void append_text(std::string& text) const override {
        append_header(text, "counter");
        for (std::size_t i = 0; i < LabelCount; ++i) {
            const auto label = static_cast<Label>(i);
            text += name() + '{' + label_name_ + "=\"";
            text += to_string(label);
            text += "\"} " + std::to_string(value(label)) + '\n';
        }
    }

private:
    struct alignas(cache_line_bytes) shard {
        std::array<std::atomic<std::uint64_t>, LabelCount> values{};
    };

    std::string label_name_;
    std::array<shard, metric_shard_count> shards_{};
};

} // namespace persimmonstile
