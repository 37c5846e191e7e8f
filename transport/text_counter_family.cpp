#include "transport/text_counter_family.h"

#include <cassert>

namespace persimmonstile {

std::string text_counter_family::labels_text(std::initializer_list<std::string_view> label_values) const {
    assert(label_values.size() == label_names_.size());
    std::string text;
    std::size_t i = 0;
    for (const std::string_view value : label_values) {
        if (i > 0)
            text += ',';
        text.append(label_names_[i++]).append("=\"").append(value).append("\"");
    }
    return text;
}

void text_counter_family::add(std::initializer_list<std::string_view> label_values, std::uint64_t amount) {
    const std::string labels = labels_text(label_values);
    const std::lock_guard lock{mutex_};
    values_[labels] += amount;
}

std::uint64_t text_counter_family::value(std::initializer_list<std::string_view> label_values) const {
    const std::string labels = labels_text(label_values);
    const std::lock_guard lock{mutex_};
    const auto found = values_.find(labels);
    return found == values_.end() ? 0 : found->second;
}

void text_counter_family::append_text(std::string& text) const {
    append_header(text, "counter");
    const std::lock_guard lock{mutex_};
    for (const auto& [labels, count] : values_)
        text += name() + '{' + labels + "} " + std::to_string(count) + '\n';
}

} // namespace persimmonstile
