#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstile {

// The candidate with the smallest edit distance to the word, for suggestions after a typing mistake. Nothing
// if every candidate differs in more than half of the characters of the longer of the two.
std::optional<std::string> closest_name(std::string_view word, const std::vector<std::string>& candidates);

// "one of a, b, c (nearest: b)", as findings report what they expected. Long lists are cut.
std::string describe_choices(const std::string& name, const std::vector<std::string>& candidates);

} // namespace persimmonstile
