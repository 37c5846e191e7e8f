#pragma once

#include "transport/metric_family.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

// One counter for each combination of label values that has occurred. Values are constant texts without
// quotes, so that there are few of them. Thread-safe.
class text_counter_family : public metric_family {
public:
    text_counter_family(std::string name, std::string help, std::vector<std::string> label_names)
        : metric_family{std::move(name), std::move(help)}
        , label_names_{std::move(label_names)} {}

    // As many values as there are label names, in their order.
    void add(std::initializer_list<std::string_view> label_values, std::uint64_t amount = 1);

    std::uint64_t value(std::initializer_list<std::string_view> label_values) const;

    void append_text(std::string& text) const override;

private:
    std::string labels_text(std::initializer_list<std::string_view> label_values) const;

    std::vector<std::string> label_names_;
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> values_;
};

} // namespace persimmonstile
