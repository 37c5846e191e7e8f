#include "protocol/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace persimmonstile {

namespace {

constexpr std::size_t max_listed_choices = 10;

// Longer texts are not misspelt names, and the distance takes quadratic time.
constexpr std::size_t max_compared_length = 128;

std::size_t edit_distance(const std::string& from, const std::string& to) {
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j) {
            const std::size_t substituted = diagonal + (from[i] == to[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearest_name(const std::string& name, const std::vector<std::string>& candidates) {
    std::string nearest;
    if (name.size() > max_compared_length)
        return nearest;
    std::size_t best = std::max<std::size_t>(2, name.size() / 2) + 1;
    for (const std::string& candidate : candidates) {
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < best) {
            best = distance;
            nearest = candidate;
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
    const std::string nearest = nearest_name(name, candidates);
    if (!nearest.empty())
        text += " (nearest: " + nearest + ")";
    return text;
}

} // namespace persimmonstile
