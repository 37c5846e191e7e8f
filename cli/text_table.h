#pragma once

#include <string>
#include <vector>

namespace persimmonstile {

// Left-aligned columns for a terminal, two spaces apart. Widths count UTF-8 characters.
class text_table {
public:
    explicit text_table(std::vector<std::string> header);

    // A row has as many cells as the header.
    void add_row(std::vector<std::string> cells);

    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace persimmonstile
