#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

// The candidate with the smallest edit distance to the word, for suggestions after a typing mistake. Nothing
// if every candidate differs in more than half of the characters of the longer of the two.
std::optional<std::string> closest_name(std::string_view word, const std::vector<std::string>& candidates);

} // namespace persimmonstile
