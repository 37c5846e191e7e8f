#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonstile {

// Values of a counter by its label "kind".
using counter_by_kind = std::map<std::string, double>;

// Message counters of the daemons, summed over all of them. A counter that no daemon has is empty.
struct message_counters {
    std::optional<counter_by_kind> messages;
    std::optional<counter_by_kind> wasted;
    // Daemons whose /metrics did not answer.
    std::vector<std::string> unreachable;
};

// Values of one counter in the Prometheus text format, summed by the label "kind". Empty if it does not
// occur.
std::optional<counter_by_kind> parse_counter(const std::string& text, const std::string& name);

// Reads /metrics of each base URL.
message_counters scrape_messages(const std::vector<std::string>& base_urls);

// Growth between two scrapes. A counter that is absent after the run stays absent.
std::optional<counter_by_kind> growth(const std::optional<counter_by_kind>& before,
                                      const std::optional<counter_by_kind>& after);

} // namespace persimmonstile
