#include "cli/text_table.h"

#include <algorithm>

namespace persimmonstile {
namespace {

constexpr std::size_t column_gap = 2;

// Counts all bytes but the continuation bytes of UTF-8.
std::size_t width_of(const std::string& text) {
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xc0U) != 0x80U;
    }));
}

} // namespace

text_table::text_table(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
}

void text_table::add_row(std::vector<std::string> cells) {
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], width_of(row[i]));
        }
    }
    std::string text;
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            if (i + 1 < row.size()) {
                text.append(widths[i] + column_gap - width_of(row[i]), ' ');
            }
        }
        text += '\n';
    }
    return text;
}

} // namespace persimmonstile
