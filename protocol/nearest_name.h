#pragma once

#include <string>
#include <vector>

namespace persimmonstile {

// The candidate with the smallest edit distance, or an empty string if none is similar enough to be meant.
std::string nearest_name(const std::string& name, const std::vector<std::string>& candidates);

// "one of a, b, c (nearest: b)", as findings report what they expected. Long lists are cut.
std::string describe_choices(const std::string& name, const std::vector<std::string>& candidates);

} // namespace persimmonstile
