#pragma once

#include "transport/counter_family.h"
#include "transport/input_refusal.h"

#include <string>

namespace persimmonstile {

// Counts refused requests and closed connections of all listening sockets of the process. Thread-safe.
class input_metrics {
public:
    void add(input_refusal reason) { refusals_.add(reason); }

    std::string prometheus_text() const {
        std::string text;
        refusals_.append_text(text);
        return text;
    }

    // Of the process.
    static input_metrics& instance();

private:
    counter_family<input_refusal, input_refusal_count> refusals_{
        "persimmonstile_input_refusals_total",
        "Requests refused and connections closed because of a limit on input.", "reason"};
};

} // namespace persimmonstile
