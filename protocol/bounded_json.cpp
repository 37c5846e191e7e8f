#include "protocol/bounded_json.h"

namespace persimmonstile {

namespace {

// The configuration and its history nest about eight levels.
constexpr int max_depth = 32;

} // namespace

std::optional<nlohmann::json> parse_bounded_json(std::string_view text) {
    bool too_deep = false;
    const auto limit_depth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    nlohmann::json document = nlohmann::json::parse(text, limit_depth, false);
    if (document.is_discarded() || too_deep)
        return std::nullopt;
    return document;
}

} // namespace persimmonstile
