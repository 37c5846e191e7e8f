#include "transport/input_metrics.h"

namespace persimmonstile {

input_metrics& input_metrics::instance() {
    static input_metrics metrics;
    return metrics;
}

} // namespace persimmonstile
