#include "protocol/closest_name.h"

#include <algorithm>
#include <numeric>

namespace persimmonstile {
namespace {

constexpr std::size_t max_listed_choices = 10;

// Longer texts are no misspelt names, and the distance takes quadratic time.
constexpr std::size_t max_compared_length = 128;

// Levenshtein distance with one row of the table in memory.
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> closest_name(std::string_view word, const std::vector<std::string>& candidates) {
    std::optional<std::string> nearest;
    std::size_t nearest_distance = 0;
    if (word.size() > max_compared_length) {
        return nearest;
    }
    for (const std::string& candidate : candidates) {
        const std::size_t distance = edit_distance(word, candidate);
        if (distance * 2 > std::max(word.size(), candidate.size())) {
            continue;
        }
        if (!nearest || distance < nearest_distance) {
            nearest = candidate;
            nearest_distance = distance;
        }
    }
    return nearest;
}

std::string describe_choices(const std::string& name, const std::vector<std::string>& candidates) {
    if (candidates.empty())
        return "a declared name (none is declared)";
    std::string text = "one of ";
    const std::size_t listed = std::min(candidates.size(), max_listed_choices);
    for (std::size_t i = 0; i < listed; ++i)
        text += (i == 0 ? "" : ", ") + candidates[i];
    if (listed < candidates.size())
        text += " and " + std::to_string(candidates.size() - listed) + " more";
    if (const auto nearest = closest_name(name, candidates))
        text += " (nearest: " + *nearest + ")";
    return text;
}

} // namespace persimmonstile
